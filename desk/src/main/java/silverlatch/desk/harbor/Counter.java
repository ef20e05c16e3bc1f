package silverlatch.desk.harbor;

import java.util.function.Consumer;
import silverlatch.quay.Clerk;
import silverlatch.rumor.Worker;
import silverlatch.tariff.Verdict;
import silverlatch.tariff.Wish;

/** What a harbor does for operators and workers, whatever door they came by. Replies come on the harbor's own duty. */
public interface Counter {
    /** Lays down a charter. */
    void lay(Wish.Lay wish, Consumer<Verdict> then);

    /** Asks for the newest acknowledged charter's paper; the page is not ok where none can tell it now. */
    void paper(Consumer<Clerk.Page> then);

    /** Empties a zone, or gives it back. */
    void zone(String zone, boolean on, Consumer<Verdict> then);

    /** Takes a worker's word on itself; true when it is taken and on its way to the others. */
    void word(Worker worker, Consumer<Boolean> then);

    /** A worker said that it is gone. */
    void gone(String worker, Consumer<Boolean> then);
}
