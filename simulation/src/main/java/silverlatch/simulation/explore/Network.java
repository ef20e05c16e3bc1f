package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import silverlatch.wire.Message;

/** The messages in flight, in a channel for each sender and receiver in sending order, and the links that are cut. */
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

    /** Returns the mutable list of messages in flight from one machine to another. */
    List<Message> channel(final int from, final int to) {
        return channels.get(from * size + to);
    }

    /** Sends a message; it is lost if the link is cut. */
    void send(final int from, final int to, final Message message) {
        if (!cut[from * size + to]) {
            channel(from, to).add(message);
        }
    }

    boolean isCut(final int from, final int to) {
        return cut[from * size + to];
    }

    /** Cuts a link in one direction; messages already in flight on it may still be delivered. */
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
