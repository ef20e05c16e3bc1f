package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import silverlatch.wire.Message;

/** The messages in flight, by sender and receiver in the order they were sent, and the links that are cut. */
final class Network {
    private final int size;
    private final List<List<Message>> channels = new ArrayList<>();
    private final boolean[] cut;

    Network(final int size) {
        this.size = size;
        this.cut = new boolean[size * size];
        for (int i = 0; i < size * size; i++) {
            channels.add(new ArrayList<>());
        }
    }

    /** What is in flight from one machine to another. */
    List<Message> channel(final int from, final int to) {
        return channels.get(from * size + to);
    }

    /** Sends a message, which is lost when the link is cut. */
    void send(final int from, final int to, final Message message) {
        if (!cut[from * size + to]) {
            channel(from, to).add(message);
        }
    }

    boolean isCut(final int from, final int to) {
        return cut[from * size + to];
    }

    /** Cuts a link; what is in flight on it may still arrive. */
    void cut(final int from, final int to) {
        cut[from * size + to] = true;
    }

    void heal() {
        Arrays.fill(cut, false);
    }

    boolean anyCut() {
        for (final boolean one : cut) {
            if (one) {
                return true;
            }
        }
        return false;
    }
}
