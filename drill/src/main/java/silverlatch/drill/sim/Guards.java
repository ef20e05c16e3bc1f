package silverlatch.drill.sim;

import silverlatch.carry.Carry;

/**
 * Which guards of the system stand. All stand in a real run; a test lets one down to see that the observer notices.
 *
 * @param word   words on workers grow old
 * @param sure   an unconfirmed table is not acted on
 * @param drain  drains reach the judges
 * @param home   homes reach the judges
 * @param claim  keys are claimed in the chain
 * @param spent  a run is asked for once only
 * @param stream the carrier checks the worker's stream
 * @param ramp   cold workers are spared
 * @param tries  extra tries have a budget
 * @param lease  the tail answers only under a lease
 * @param back   a purser never takes a lower page
 * @param seal   the order in which changes are compared
 */
public record Guards(boolean word, boolean sure, boolean drain, boolean home, boolean claim, boolean spent, boolean stream,
                     boolean ramp, boolean tries, boolean lease, boolean back, boolean seal) {
    /** All guards stand. */
    public static final Guards ALL = new Guards(true, true, true, true, true, true, true, true, true, true, true, true);

    /** All but some, by their names. */
    public static Guards without(final String... names) {
        final java.util.Set<String> off = java.util.Set.of(names);
        return new Guards(!off.contains("word"), !off.contains("sure"), !off.contains("drain"), !off.contains("home"),
                !off.contains("claim"), !off.contains("spent"), !off.contains("stream"), !off.contains("ramp"), !off.contains("tries"),
                !off.contains("lease"), !off.contains("back"), !off.contains("seal"));
    }

    Carry.Setup carry() {
        final Carry.Setup p = Carry.Setup.PLAIN;
        final long never = Long.MAX_VALUE / 4;
        return new Carry.Setup(p.slab(), p.queue(), p.permit(), word ? p.word() : never, sure ? p.sure() : never, p.claim(), p.keep(),
                p.buffer(), tries ? p.tries() : 100, p.shun(), p.patience(), p.memory(), p.start());
    }
}
