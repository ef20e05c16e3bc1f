package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.state.Value;

/** Drawn storms over six machines: deaths, power cuts of all, lost disks fewer than the copies, and cut links. */
final class StormTest {
    private static final List<String> SEATS = List.of("a", "b", "c");
    private static final List<String> SIX = List.of("a", "b", "c", "d", "e", "f");
    private static final long SECOND = 1_000_000;

    private static final class Storm {
        private final Random luck;
        private final ReplicaCluster bay;
        private final int copies;
        private final List<Seen> reads = new ArrayList<>();
        private final List<Wrote> writes = new ArrayList<>();
        private long number;
        private int wiped;
        private int answered;

        Storm(final long seed, final int copies) {
            this.copies = copies;
            luck = new Random(seed);
            bay = new ReplicaCluster(SEATS, 1_000 + luck.nextInt(60_000), s -> s.counts(copies, 6));
        }

        private record Seen(ReplicaCluster.Asked asked, long least) {}

        private record Wrote(ReplicaCluster.Asked asked, long number) {}

        void run() {
            SIX.forEach(s -> bay.start(s, true));
            bay.pass(20 * SECOND);
            for (int i = 0; i < 300; i++) {
                fault();
                work();
                bay.pass(20_000L + luck.nextInt(300_000));
                judge();
            }
            bay.heal();
            SIX.stream().filter(s -> !bay.up().contains(s)).forEach(s -> bay.start(s, false));
            bay.pass(40 * SECOND);
            judge();
            final long most = acked();
            SIX.forEach(
                    s -> assertThat(s + " has the newest in the end" + bay, bay.held(s), greaterThanOrEqualTo(most)));
            final ReplicaCluster.Asked last = bay.lay("d", ++number, -1, 5 * SECOND);
            bay.pass(6 * SECOND);
            assertThat("writes go on" + bay, last.kept(), is(true));
        }

        private long acked() {
            return writes.stream()
                    .filter(w -> w.asked().kept())
                    .mapToLong(Wrote::number)
                    .max()
                    .orElse(0);
        }

        private boolean whole() {
            return bay.up().size() == 6
                    && SIX.stream().allMatch(s -> {
                        final ChainReplica.State q = bay.quay(s).state(bay.now());
                        return q.level() && q.view().chain().size() == 6;
                    });
        }

        private void fault() {
            final String one = SIX.get(luck.nextInt(6));
            final String other = SIX.get(luck.nextInt(6));
            if (whole()) {
                wiped = 0;
            }
            switch (luck.nextInt(14)) {
                case 0, 1 -> {
                    if (bay.up().size() > 4) {
                        bay.kill(one);
                    }
                }
                case 2 -> {
                    if (bay.up().contains(one) && bay.up().size() > 4 && wiped < copies - 1) {
                        wiped++;
                        bay.kill(one);
                        bay.wipe(one);
                    }
                }
                case 3 -> {
                    if (!one.equals(other)) {
                        bay.cut(one, other, true);
                    }
                }
                case 4 -> bay.heal();
                case 5 -> {
                    if (luck.nextInt(4) == 0) {
                        List.copyOf(bay.up()).forEach(bay::kill);
                        bay.pass(luck.nextInt(500_000));
                        SIX.forEach(s -> bay.start(s, false));
                    }
                }
                case 6, 7, 8 ->
                    SIX.stream().filter(s -> !bay.up().contains(s)).findFirst().ifPresent(s -> bay.start(s, false));
                default -> {}
            }
        }

        private void work() {
            final List<String> up = bay.up().stream().sorted().toList();
            writes.add(new Wrote(bay.lay(up.get(luck.nextInt(up.size())), ++number, -1, 900_000), number));
            reads.add(new Seen(bay.read(up.get(luck.nextInt(up.size())), 900_000), acked()));
        }

        private void judge() {
            reads.removeIf(r -> {
                final Optional<Object> reply = r.asked().answer();
                reply.filter(x -> x instanceof ChainClient.Page p && p.ok()).ifPresent(x -> {
                    answered++;
                    final long told = ((ChainClient.Page) x)
                            .entries().stream()
                                    .filter(e -> !e.isDeleted())
                                    .mapToLong(e -> ((Value.ConfigurationDocument)
                                                    e.value().get(0))
                                            .number())
                                    .max()
                                    .orElse(0);
                    assertThat("a read after an ack", told, greaterThanOrEqualTo(r.least()));
                });
                return reply.isPresent();
            });
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void noReadIsOlderThanAnAckAndNoAckIsLost(final int copies) {
        long kept = 0;
        long answered = 0;
        final long first = Long.getLong("silverlatch.storm", 1);
        final int count = Integer.getInteger("silverlatch.storms", 10);
        for (long seed = first; seed < first + count; seed++) {
            final Storm s = new Storm(seed, copies);
            try {
                s.run();
            } catch (final AssertionError e) {
                throw new AssertionError("storm " + seed + ": " + e.getMessage(), e);
            }
            kept += s.writes.stream().filter(w -> w.asked().kept()).count();
            answered += s.answered;
        }
        assertThat("most changes were kept", kept, greaterThanOrEqualTo(100L * count));
        assertThat("most reads were answered", answered, greaterThanOrEqualTo(150L * count));
    }
}
