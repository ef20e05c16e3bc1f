package silverlatch.dispatch;

import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.dispatch.permit.Permit;
import silverlatch.dispatch.permit.Seals;
import silverlatch.state.Value;

/** A ticket under way, or ended and kept to be read again. One duty owns it. */
final class Ticket {
    final Permit permit;
    final Value.Tenant tenant;
    final Value.Row row;
    final List<Long> prefix;
    final long expiry;
    final long hold;
    final long begun;
    final MessageDigest sum = Seals.digest();
    final List<Line> lines = new ArrayList<>();
    String prompt;
    String state;
    String why = "";
    String worker = "";
    String run = "";
    Optional<String> want = Optional.empty();
    Optional<Long> reader;
    Optional<Long> left = Optional.empty();
    boolean hungry = true;
    boolean claimed;
    boolean held;
    int sent;
    int tries;
    long asked;
    long place;
    long job;
    long bytes;
    long at;

    Ticket(
            final Permit permit,
            final Value.Tenant tenant,
            final Value.Row row,
            final List<Long> prefix,
            final String prompt,
            final long expiry,
            final long hold,
            final long reader,
            final String state) {
        this.permit = permit;
        this.tenant = tenant;
        this.row = row;
        this.prefix = prefix;
        this.prompt = prompt;
        this.expiry = expiry;
        this.hold = hold;
        this.begun = permit.expiry();
        this.reader = Optional.of(reader);
        this.state = state;
    }

    double cost() {
        return 1 + prompt.length() / 4096.0;
    }

    String key() {
        return Seals.hash(permit.tenant() + "|" + permit.key());
    }
}
