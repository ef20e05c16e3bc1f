package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Seeded schedules of losses and replacements, never more at one time than the tolerance, and the next one as soon as
 * the one before stops counting. After every step the model holds the replicas to the rules named in {@link Schedule}.
 * More schedules: {@code -Dsilverlatch.memberships=COUNT}, from another seed: {@code -Dsilverlatch.membership=SEED}.
 */
final class MembershipModelTest {
    private static final long SECOND = 1_000_000;
    private static final long STEP = SECOND / 10;
    private static final long CATCH_UP = 4 * SECOND;
    /** How long a controller that was told to end waits: three quarters of {@code gracePeriodS}. */
    private static final long GRACE = 6 * SECOND;

    private static final long DETECTION = 2 * SECOND;
    private static final long OUTAGE = 5 * SECOND;
    private static final long NEVER = Long.MAX_VALUE;
    private static final int STEPS = 600;

    /** A loss that counts until a time; NEVER while it isn't known when its machine comes back. */
    private static final class Loss {
        private String address;
        private long until = NEVER;
        private boolean down = true;
        private boolean full;

        Loss(final String address) {
            this.address = address;
        }
    }

    private record ScheduledTask(long at, long order, Runnable task) {}

    private record Put(ReplicaCluster.PendingCall asked, long number) {}

    /** One schedule; the checks after each step are those of {@link #checkPropagation}. */
    private static final class Schedule {
        private final Random random;
        private final int tolerance;
        private final int maxVoters;
        private final ReplicaCluster cluster;
        private final Set<String> members = new TreeSet<>();
        private final Set<String> leaving = new TreeSet<>();
        private final List<Loss> losses = new ArrayList<>();
        private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
        private final List<Put> puts = new ArrayList<>();
        private final Map<Long, View> views = new HashMap<>();
        private final List<String> trace = new ArrayList<>();
        private long lastOrder;
        private long number;
        private long acknowledged;
        private long acknowledgedAt;
        private long longest;
        private long cappedAt;
        private int events;
        private int successors;
        private int killedAtGrace;

        Schedule(final long seed, final int tolerance, final int size, final Safeguards safeguards) {
            this.tolerance = tolerance;
            random = new Random(seed * 31 + size);
            maxVoters = 2 * tolerance + 3;
            final List<String> addresses = List.of("a", "b", "c", "d", "e", "f").subList(0, size);
            cluster = new ReplicaCluster(
                    addresses.subList(0, 3),
                    1_000 + random.nextInt(34_001),
                    s -> s.withCounts(tolerance + 1, maxVoters).withSafeguards(safeguards));
            cluster.setSyncMicros(1_000 + random.nextInt(4_001));
            members.addAll(addresses);
            addresses.forEach(s -> cluster.start(s, true));
        }

        void run() {
            cluster.advance(20 * SECOND);
            acknowledgedAt = cluster.now();
            for (int i = 0; i < STEPS; i++) {
                runDue();
                drawEvents();
                put();
                cluster.advance(STEP);
                recordAcknowledged();
                check();
            }
            recover();
        }

        /** No further event: all come back, and all hold the newest. */
        private void recover() {
            for (int i = 0; i < 250; i++) {
                runDue();
                put();
                cluster.advance(STEP);
                recordAcknowledged();
                check();
            }
            members.forEach(s -> assertThat(
                    s + text(),
                    cluster.committedNumber(s),
                    greaterThanOrEqualTo(members.size() > maxVoters ? 0 : acknowledged - 20)));
        }

        private String text() {
            return "\n" + String.join("\n", trace) + "\n" + lost() + " lost at " + cluster.now() / 1_000 + cluster;
        }

        private void recordEvent(final String what) {
            trace.add(cluster.now() / 1_000 + " ms: " + what);
        }

        private void plan(final long span, final Runnable task) {
            tasks.add(new ScheduledTask(cluster.now() + span, lastOrder++, task));
        }

        private void runDue() {
            while (!tasks.isEmpty() && tasks.peek().at() <= cluster.now()) {
                tasks.poll().task().run();
            }
            losses.stream().filter(l -> l.until <= cluster.now()).forEach(this::returned);
            losses.removeIf(l -> l.until <= cluster.now());
        }

        private long lost() {
            return losses.size();
        }

        private long between(final long least, final long most) {
            return least + (long) (random.nextDouble() * (most - least));
        }

        private void drawEvents() {
            if (random.nextInt(12) > 0) {
                return;
            }
            if (random.nextInt(6) == 0) {
                killAgain();
            }
            final int eventCount = random.nextInt(3) == 0 ? tolerance : 1;
            for (int i = 0; i < eventCount && lost() < tolerance; i++) {
                final List<String> sound = members.stream()
                        .filter(s -> !leaving.contains(s) && losses.stream().noneMatch(l -> l.address.equals(s)))
                        .toList();
                event(sound.get(random.nextInt(sound.size())));
                events++;
            }
            if (lost() == 0 && leaving.isEmpty() && random.nextInt(30) == 0) {
                killAll();
            }
        }

        private void event(final String address) {
            switch (random.nextInt(9)) {
                case 0 -> restart(address, false);
                case 1 -> restart(address, true);
                case 2, 3 -> replace(address);
                case 4, 5 -> replaceAsPlanned(address);
                case 6 -> terminate(address);
                case 7 -> freeze(address);
                default -> isolate(address);
            }
        }

        private Loss loss(final String address) {
            final Loss loss = new Loss(address);
            losses.add(loss);
            return loss;
        }

        /** A machine that is down is up again: what it was lost by ends after the time to catch up. */
        private void back(final Loss loss) {
            loss.down = false;
            loss.full = true;
            loss.until = cluster.now() + CATCH_UP;
        }

        private void start(final Loss loss) {
            final List<String> list = new ArrayList<>(members);
            java.util.Collections.shuffle(list, random);
            cluster.seeds(list.subList(0, Math.min(3, list.size())));
            members.add(loss.address);
            cluster.start(loss.address, false);
            back(loss);
            recordEvent("start " + loss.address);
        }

        /** Killed, with its disk or without; it starts again at its address. */
        private void restart(final String address, final boolean wiped) {
            recordEvent((wiped ? "kill and wipe " : "kill ") + address);
            final Loss loss = loss(address);
            cluster.kill(address);
            if (wiped) {
                cluster.loseDisk(address);
            }
            plan(between(STEP, 8 * SECOND), () -> start(loss));
        }

        private void end(final String address) {
            cluster.kill(address);
            cluster.loseDisk(address);
            members.remove(address);
            leaving.remove(address);
        }

        /** Removed for good without a word; its successor starts later. */
        private void replace(final String address) {
            recordEvent("remove " + address);
            final Loss loss = loss(address);
            end(address);
            loss.address = "s" + ++successors;
            plan(between(STEP, 3 * SECOND), () -> start(loss));
        }

        /** The successor starts first; when it has had its time, the old machine is told to end, for good. */
        private void replaceAsPlanned(final String address) {
            final Loss loss = loss("s" + ++successors);
            recordEvent("planned: " + loss.address + " for " + address);
            start(loss);
            leaving.add(address);
            plan(CATCH_UP + between(0, SECOND), () -> leave(address, () -> {}));
        }

        private void leave(final String address, final Runnable then) {
            if (!cluster.running().contains(address)) {
                end(address);
                then.run();
                return;
            }
            recordEvent("SIGTERM " + address);
            leaving.add(address);
            cluster.replica(address).leave();
            ended(address, cluster.now() + GRACE, then);
        }

        private void ended(final String address, final long grace, final Runnable then) {
            if (cluster.replica(address).hasLeft()) {
                recordEvent(address + " ended");
                leaving.remove(address);
                finish(address, then);
            } else if (cluster.now() >= grace) {
                recordEvent("SIGKILL " + address);
                killedAtGrace++;
                leaving.remove(address);
                finish(address, then);
                if (losses.stream().noneMatch(l -> l.address.equals(address)) && !members.contains(address)) {
                    loss(address).until = cluster.now() + DETECTION;
                }
            } else {
                plan(STEP, () -> ended(address, grace, then));
            }
        }

        private void finish(final String address, final Runnable then) {
            then.run();
            if (members.contains(address) && losses.stream().noneMatch(l -> l.address.equals(address))) {
                end(address);
            } else {
                cluster.kill(address);
            }
        }

        /** Told to end, and started again with its disk, or replaced after it ended. */
        private void terminate(final String address) {
            final Loss loss = loss(address);
            loss.down = false;
            final boolean forGood = random.nextBoolean();
            leave(address, () -> {
                loss.down = true;
                if (forGood) {
                    end(address);
                    loss.address = "s" + ++successors;
                }
                plan(between(STEP, SECOND), () -> start(loss));
            });
        }

        private void freeze(final String address) {
            recordEvent("freeze " + address);
            final Loss loss = loss(address);
            cluster.freeze(address);
            plan(between(STEP, 9 * SECOND), () -> {
                recordEvent("thaw " + address);
                cluster.thaw(address);
                back(loss);
            });
        }

        private void isolate(final String address) {
            recordEvent("cut off " + address);
            final Loss loss = loss(address);
            final Set<String> others = new TreeSet<>(members);
            others.remove(address);
            others.forEach(o -> cluster.cut(address, o, true));
            plan(between(STEP, 9 * SECOND), () -> {
                recordEvent("join again " + address);
                others.forEach(o -> cluster.cut(address, o, false));
                back(loss);
            });
        }

        /** A machine that came back and still counts as lost goes again, at times for good. */
        private void killAgain() {
            losses.stream()
                    .filter(l -> !l.down && l.full && !leaving.contains(l.address))
                    .findFirst()
                    .ifPresent(l -> {
                        recordEvent("kill again " + l.address);
                        l.until = NEVER;
                        l.down = true;
                        cluster.kill(l.address);
                        if (random.nextBoolean()) {
                            end(l.address);
                            l.address = "s" + ++successors;
                        }
                        plan(between(STEP, 3 * SECOND), () -> start(l));
                    });
        }

        /** Every process is killed at the same moment and comes back within a second, with its disk. */
        private void killAll() {
            recordEvent("kill all");
            members.forEach(s -> {
                final Loss loss = loss(s);
                cluster.kill(s);
                plan(between(STEP, SECOND), () -> start(loss));
            });
        }

        private void put() {
            final List<String> at = members.stream()
                    .filter(s ->
                            cluster.running().contains(s) && losses.stream().noneMatch(l -> l.address.equals(s)))
                    .toList();
            if (!at.isEmpty()) {
                number++;
                puts.add(new Put(
                        cluster.putConfiguration(at.get(random.nextInt(at.size())), number, -1, 2 * SECOND), number));
            }
        }

        private void recordAcknowledged() {
            puts.removeIf(p -> {
                final Optional<Object> reply = p.asked().answer();
                if (p.asked().isAcknowledged()) {
                    acknowledged = Math.max(acknowledged, p.number());
                    longest = Math.max(longest, cluster.now() - acknowledgedAt);
                    acknowledgedAt = cluster.now();
                }
                return reply.isPresent();
            });
        }

        private View newest() {
            return cluster.running().stream()
                    .map(s -> cluster.replica(s).view())
                    .max(Comparator.comparingLong(View::number))
                    .orElse(View.NONE);
        }

        /** Fails with the schedule so far; the text is made for a failure only. */
        private void require(final String what, final boolean holds) {
            if (!holds) {
                throw new AssertionError(what + text());
            }
        }

        private void check() {
            oneViewPerNumber();
            if (newest().voters().size() >= maxVoters) {
                cappedAt = cluster.now();
            }
            if (lost() > tolerance) {
                acknowledgedAt = cluster.now();
                return;
            }
            enoughCopies();
            majorityBearsTheNextLosses();
            require("writes go on", cluster.now() - acknowledgedAt <= OUTAGE);
        }

        private void oneViewPerNumber() {
            cluster.running().forEach(s -> {
                final View view = cluster.replica(s).view();
                final View before = Optional.ofNullable(views.putIfAbsent(view.number(), view))
                        .orElse(view);
                require("one view per number", view.equals(before));
            });
        }

        private boolean present(final String address) {
            return members.contains(address) && losses.stream().noneMatch(l -> l.address.equals(address));
        }

        /** The newest acknowledged change is on more disks of present machines than may still be lost. */
        private void enoughCopies() {
            final long copies = members.stream()
                    .filter(s -> present(s) && cluster.synced(s, acknowledged))
                    .count();
            require("copies of " + acknowledged, copies > tolerance - lost());
        }

        /** With as many more lost as may be, a majority of the newest view's voters is left. */
        private void majorityBearsTheNextLosses() {
            final View view = newest();
            final long voters = view.voters().stream()
                    .filter(v -> present(v.address()) && cluster.running().contains(v.address()))
                    .count();
            require("a majority bears the next losses", view.isMajority((int) (voters - (tolerance - lost()))));
        }

        /** A machine that no longer counts as lost is a full member, unless there were as many voters as may be. */
        private void returned(final Loss loss) {
            if (loss.full
                    && cluster.now() - cappedAt > DETECTION
                    && cluster.running().contains(loss.address)
                    && lost() <= tolerance) {
                final ReplicaStatus state = cluster.replica(loss.address).status(cluster.now());
                require(
                        loss.address + " is a full member",
                        state.isCaughtUp()
                                && newest().positionOf(state.view().chain().isEmpty() ? "" : id(loss.address)) >= 0);
            }
        }

        private String id(final String address) {
            return newest().chain().stream()
                    .filter(r -> r.address().equals(address))
                    .map(Replica::id)
                    .findFirst()
                    .orElse("");
        }
    }

    @ParameterizedTest
    @CsvSource({"1,3", "1,4", "1,5", "2,5", "2,6"})
    void lossesWithinTheToleranceNeverTakeTheLastCopyNorTheMajority(final int tolerance, final int size) {
        final long first = Long.getLong("silverlatch.membership", 1);
        final int count = Integer.getInteger("silverlatch.memberships", 2);
        long events = 0;
        long longest = 0;
        long killedAtGrace = 0;
        for (long seed = first; seed < first + count; seed++) {
            final Schedule schedule = new Schedule(seed, tolerance, size, Safeguards.ALL);
            try {
                schedule.run();
            } catch (final AssertionError e) {
                throw new AssertionError("schedule " + seed + ": " + e.getMessage(), e);
            }
            events += schedule.events;
            longest = Math.max(longest, schedule.longest);
            killedAtGrace += schedule.killedAtGrace;
        }
        System.out.printf(
                "%d of %d: %d schedules, %d events, %d ended by SIGKILL, longest without an acknowledgement %d ms%n",
                tolerance, size, count, events, killedAtGrace, longest / 1_000);
        assertThat("losses came", events, greaterThanOrEqualTo(5L * count));
    }

    /** The model notices that dead votes are kept, within a few schedules. */
    @Test
    void deadVotesThatStayAreNoticed() {
        final Safeguards rest = new Safeguards(Set.of(Safeguard.DEAD_VOTES));
        final AssertionError broken = assertThrows(AssertionError.class, () -> {
            for (long seed = 1; seed <= 5; seed++) {
                new Schedule(seed, 1, 3, rest).run();
            }
        });
        assertThat(broken.getMessage(), startsWith("a majority bears the next losses"));
    }
}
