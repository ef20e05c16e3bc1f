package silverlatch.state;

import java.util.List;
import silverlatch.clock.Stamp;

/** What an entry of the shared books can hold. */
public sealed interface Value {
    /** A tenant: its homes (regions; none means all), its share of the fleet, and the hash of its key. */
    record Tenant(String name, List<String> homes, double share, String hash, String salt) implements Value {
        /** Copies the homes. */
        public Tenant {
            homes = List.copyOf(homes);
        }
    }

    /** One row of the table: weights of the judges and limits, for a tenant (or *) and a kind. */
    record Row(
            String tenant,
            String kind,
            double prefix,
            double load,
            double cold,
            double cross,
            double rate,
            double burst,
            int running,
            int queue,
            long hold,
            boolean once,
            int rank)
            implements Value {}

    /** An order to empty a zone, or to take that back. */
    record Evacuation(String zone, boolean on, Stamp at) implements Value {}

    /** A calendar: at the times of a cron line it sets cells, or empties a zone or gives it back; no zone is an empty text. */
    record Schedule(String name, String cron, List<Command.Cell> cells, String zone, boolean empty) implements Value {
        /** Copies the cells. */
        public Schedule {
            cells = List.copyOf(cells);
        }
    }

    /** A consumer's key, bound to the one ticket that may run under it; the stamp it came with, and the turn of the glass then. */
    record Claim(String ticket, String carrier, String state, long at, long turn) implements Value {}

    /** How often the glass was turned: the fleet's own count of time, by monotonic clocks only. */
    record Epoch(long turn) implements Value {}

    /**
     * Where tickets that come by host and path go: the longest path of a host that begins a ticket's path rules it.
     *
     * @param name   what operators call it
     * @param host   the host it rules
     * @param path   how the paths it rules begin
     * @param once   whether a ticket may run at most once
     * @param stream whether the reply is a stream of events
     * @param resume whether a broken stream may go on at another worker
     * @param kept   whether prompts share parts that are worth keeping
     * @param hold   the longest time a ticket is held, in microseconds
     * @param aim    the time within which a reply, or its first event, has its full worth, in microseconds
     * @param gap    the longest pause between events of a stream that is in time, in microseconds
     * @param rank   0 comes first
     * @param tries  how many workers one ticket may be sent to
     * @param homes  the regions it may run in; none means all
     * @param lots   the pools it goes to, by weight
     */
    record Route(
            String name,
            String host,
            String path,
            boolean once,
            boolean stream,
            boolean resume,
            boolean kept,
            long hold,
            long aim,
            long gap,
            int rank,
            int tries,
            List<String> homes,
            List<WeightedBackend> lots)
            implements Value {
        /** Copies the lists. */
        public Route {
            homes = List.copyOf(homes);
            lots = List.copyOf(lots);
        }

        /** Whether a ticket may be run a second time where the first came to nothing. */
        public boolean again() {
            return !once || resume;
        }
    }

    /** A pool's part in a rule. */
    record WeightedBackend(String pool, int weight) {}

    /**
     * A pool of workers.
     *
     * @param name   its name
     * @param health the path of a worker's health reply
     * @param lines  how many connections a worker takes from all callers together
     * @param cold   how long a worker stays cold, in microseconds
     * @param rate   how many tickets a second a cold worker bears
     * @param slots  how many tickets a worker runs at once
     * @param memory how many tokens a worker holds
     * @param stride how many tokens an event holds
     */
    record BackendPool(String name, String health, int lines, long cold, double rate, int slots, int memory, int stride)
            implements Value {}

    /** The charter in force: the operators' own number, and what a consumer may send (bytes, microseconds). */
    record RoutingConfiguration(long number, int head, int body, long slow, long idle) implements Value {}

    /** The charter as the operator wrote it, to the letter. */
    record ConfigurationDocument(long number, String text) implements Value {}

    /** How a change was decided, by its id: kept when the code is 0, else rejected with its faults. */
    record CommandOutcome(long sequence, int code, List<String> faults) implements Value {
        /** Copies the faults. */
        public CommandOutcome {
            faults = List.copyOf(faults);
        }
    }

    /**
     * That a configuration was accepted. It came with a later version; the codec numbers it after all others.
     *
     * @param number   its number
     * @param match    the number it said it builds on; negative where it asked for no comparison
     * @param previous the number that was in force before it, 0 where there was none
     * @param digest   the SHA-256 of its text in base64 without padding
     */
    record AcceptedConfiguration(long number, long match, long previous, String digest) implements Value {}
}
