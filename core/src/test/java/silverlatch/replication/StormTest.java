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
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final List<String> SIX = List.of("a", "b", "c", "d", "e", "f");
    private static final long SECOND = 1_000_000;

    private static final class Storm {
        private final Random random;
        private final ReplicaCluster cluster;
        private final int copies;
        private final List<Read> reads = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();
        private long number;
        private int wiped;
        private int answered;

        Storm(final long seed, final int copies) {
            this.copies = copies;
            random = new Random(seed);
            cluster = new ReplicaCluster(SEEDS, 1_000 + random.nextInt(60_000), s -> s.withCounts(copies, 6));
        }

        private record Read(ReplicaCluster.PendingCall asked, long least) {}

        private record Write(ReplicaCluster.PendingCall asked, long number) {}

        void run() {
            SIX.forEach(s -> cluster.start(s, true));
            cluster.advance(20 * SECOND);
            for (int i = 0; i < 300; i++) {
                fault();
                callReplicas();
                cluster.advance(20_000L + random.nextInt(300_000));
                checkReads();
            }
            cluster.heal();
            SIX.stream().filter(s -> !cluster.running().contains(s)).forEach(s -> cluster.start(s, false));
            cluster.advance(40 * SECOND);
            checkReads();
            final long newest = newestAcknowledged();
            SIX.forEach(s -> assertThat(
                    s + " has the newest in the end" + cluster,
                    cluster.committedNumber(s),
                    greaterThanOrEqualTo(newest)));
            final ReplicaCluster.PendingCall last = cluster.putConfiguration("d", ++number, -1, 5 * SECOND);
            cluster.advance(6 * SECOND);
            assertThat("writes go on" + cluster, last.isAcknowledged(), is(true));
        }

        private long newestAcknowledged() {
            return writes.stream()
                    .filter(w -> w.asked().isAcknowledged())
                    .mapToLong(Write::number)
                    .max()
                    .orElse(0);
        }

        private boolean isChainComplete() {
            return cluster.running().size() == 6
                    && SIX.stream().allMatch(s -> {
                        final ReplicaStatus status = cluster.replica(s).status(cluster.now());
                        return status.isCaughtUp() && status.view().chain().size() == 6;
                    });
        }

        private void fault() {
            final String one = SIX.get(random.nextInt(6));
            final String other = SIX.get(random.nextInt(6));
            if (isChainComplete()) {
                wiped = 0;
            }
            switch (random.nextInt(14)) {
                case 0, 1 -> {
                    if (cluster.running().size() > 4) {
                        cluster.kill(one);
                    }
                }
                case 2 -> {
                    if (cluster.running().contains(one) && cluster.running().size() > 4 && wiped < copies - 1) {
                        wiped++;
                        cluster.kill(one);
                        cluster.loseDisk(one);
                    }
                }
                case 3 -> {
                    if (!one.equals(other)) {
                        cluster.cut(one, other, true);
                    }
                }
                case 4 -> cluster.heal();
                case 5 -> {
                    if (random.nextInt(4) == 0) {
                        List.copyOf(cluster.running()).forEach(cluster::kill);
                        cluster.advance(random.nextInt(500_000));
                        SIX.forEach(s -> cluster.start(s, false));
                    }
                }
                case 6, 7, 8 ->
                    SIX.stream()
                            .filter(s -> !cluster.running().contains(s))
                            .findFirst()
                            .ifPresent(s -> cluster.start(s, false));
                default -> {}
            }
        }

        private void callReplicas() {
            final List<String> up = cluster.running().stream().sorted().toList();
            writes.add(new Write(
                    cluster.putConfiguration(up.get(random.nextInt(up.size())), ++number, -1, 900_000), number));
            reads.add(new Read(cluster.read(up.get(random.nextInt(up.size())), 900_000), newestAcknowledged()));
        }

        private void checkReads() {
            reads.removeIf(r -> {
                final Optional<Object> reply = r.asked().answer();
                reply.filter(x -> x instanceof ChainClient.ReadResult p && p.answered())
                        .ifPresent(x -> {
                            answered++;
                            final long number = ((ChainClient.ReadResult) x)
                                    .entries().stream()
                                            .filter(e -> !e.isDeleted())
                                            .mapToLong(e -> ((Value.ConfigurationDocument)
                                                            e.value().get(0))
                                                    .number())
                                            .max()
                                            .orElse(0);
                            assertThat("a read after an ack", number, greaterThanOrEqualTo(r.least()));
                        });
                return reply.isPresent();
            });
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void noReadIsOlderThanAnAcknowledgementAndNoAcknowledgedWriteIsLost(final int copies) {
        long kept = 0;
        long answered = 0;
        final long first = Long.getLong("silverlatch.storm", 1);
        final int count = Integer.getInteger("silverlatch.storms", 10);
        for (long seed = first; seed < first + count; seed++) {
            final Storm storm = new Storm(seed, copies);
            try {
                storm.run();
            } catch (final AssertionError e) {
                throw new AssertionError("storm " + seed + ": " + e.getMessage(), e);
            }
            kept += storm.writes.stream()
                    .filter(w -> w.asked().isAcknowledged())
                    .count();
            answered += storm.answered;
        }
        assertThat("most changes were kept", kept, greaterThanOrEqualTo(100L * count));
        assertThat("most reads were answered", answered, greaterThanOrEqualTo(150L * count));
    }
}
