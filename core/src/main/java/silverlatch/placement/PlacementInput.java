package silverlatch.placement;

import silverlatch.gossip.Worker;

/**
 * A worker as one gateway sees it at the moment of a pick.
 *
 * @param worker  its newest word
 * @param age     how old that word can be, in microseconds
 * @param since   runs this gateway sent there that the word can't count yet
 * @param mine    runs of this gateway under way there
 * @param back    microseconds since it came back after a silence
 * @param shunned whether a try there failed just now
 * @param peers   how many gateways share it
 */
public record PlacementInput(Worker worker, long age, int since, int mine, long back, boolean shunned, int peers) {
    private static final long RAMP = 6_000_000L;
    private static final double LOW = 0.1;

    /** Runs there, as far as can be known here. */
    public int busy() {
        return worker.running() + worker.queued() + since;
    }

    /** How warm it is, from a tenth to one. */
    public double warmth() {
        final long span = Math.max(0, Math.min(worker.uptime(), back));
        return Math.min(1, LOW + (1 - LOW) * span / RAMP);
    }

    /** How many runs it may have at once while it warms up. */
    public int cap() {
        return Math.max(1, (int) Math.floor(worker.slots() * warmth()));
    }

    /** How many runs this gateway alone may have there while it warms up. */
    public int part() {
        return warmth() >= 1 ? worker.slots() : Math.max(1, (int) Math.ceil(2.0 * cap() / Math.max(1, peers)));
    }
}
