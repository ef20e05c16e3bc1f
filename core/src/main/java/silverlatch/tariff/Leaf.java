package silverlatch.tariff;

import java.util.List;
import silverlatch.tide.Stamp;

/** What an entry of the shared books can hold. */
public sealed interface Leaf {
    /** A tenant: its homes (regions; none means all), its share of the fleet, and the hash of its key. */
    record Tenant(String name, List<String> homes, double share, String hash, String salt) implements Leaf {
        /** Copies the homes. */
        public Tenant {
            homes = List.copyOf(homes);
        }
    }

    /** One row of the table: weights of the judges and limits, for a tenant (or *) and a kind. */
    record Row(String tenant, String kind, double prefix, double load, double cold, double cross,
               double rate, double burst, int running, int queue, long hold, boolean once, int rank) implements Leaf {
    }

    /** An order to empty a zone, or to take that back. */
    record Drain(String zone, boolean on, Stamp at) implements Leaf {
    }

    /** A calendar: at the times of a cron line it sets cells, or empties a zone or gives it back; no zone is an empty text. */
    record Calendar(String name, String cron, List<Wish.Cell> cells, String zone, boolean empty) implements Leaf {
        /** Copies the cells. */
        public Calendar {
            cells = List.copyOf(cells);
        }
    }

    /** A consumer's key, bound to the one ticket that may run under it; the stamp it came with, and the turn of the glass then. */
    record Claim(String ticket, String carrier, String state, long at, long turn) implements Leaf {
    }

    /** How often the glass was turned: the fleet's own count of time, by monotonic clocks only. */
    record Glass(long turn) implements Leaf {
    }

    /** How a change was decided, by its id: kept when the code is 0, else rejected with its faults. */
    record Deed(long sequence, int code, List<String> faults) implements Leaf {
        /** Copies the faults. */
        public Deed {
            faults = List.copyOf(faults);
        }
    }
}
