package silverlatch.dispatch;

import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.dispatch.permit.Permit;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.state.Value;

/** A ticket under way, or ended and kept to be read again. One duty owns it. */
final class DispatchedRequest {
    final Permit permit;
    final Value.Tenant tenant;
    final Value.Row row;
    final List<Long> prefixDigests;
    final long deadline;
    final long queueDeadline;
    final long permitExpiry;
    final MessageDigest responseDigest = PermitSigner.newSha256();
    final List<StreamRecord> records = new ArrayList<>();
    String prompt;
    RequestState state = RequestState.NEW;
    String reason = "";
    String worker = "";
    String attemptId = "";
    Optional<String> preferredWorker = Optional.empty();
    Optional<Long> readerCallId;
    Optional<Long> readerLeftAt = Optional.empty();
    boolean readerReady = true;
    boolean mayHoldClaim;
    boolean holdsWorkerSlot;
    int recordsSent;
    int attempts;
    long attemptStartedAt;
    long handle;
    long operationId;
    long responseBytes;
    long claimTimestamp;

    DispatchedRequest(
            final Permit permit,
            final Value.Tenant tenant,
            final Value.Row row,
            final List<Long> prefixDigests,
            final String prompt,
            final long deadline,
            final long queueDeadline,
            final long readerCallId) {
        this.permit = permit;
        this.tenant = tenant;
        this.row = row;
        this.prefixDigests = prefixDigests;
        this.prompt = prompt;
        this.deadline = deadline;
        this.queueDeadline = queueDeadline;
        this.permitExpiry = permit.expiry();
        this.readerCallId = Optional.of(readerCallId);
    }

    double cost() {
        return 1 + prompt.length() / 4096.0;
    }

    String claimKey() {
        return PermitSigner.sha256Hex(permit.tenant() + "|" + permit.idempotencyKey());
    }
}
