package silverlatch.judge.bench;

import silverlatch.judge.Case;
import silverlatch.judge.Finding;
import silverlatch.judge.Judge;
import silverlatch.judge.Sight;

/** Never lets work to a worker that leaves, whose word is too old, or where a try failed just now. */
public final class Lease implements Judge {
    private final long oldest;

    /** With the age beyond which a word counts for nothing. */
    public Lease(final long oldest) {
        this.oldest = oldest;
    }

    @Override
    public String name() {
        return "lease";
    }

    @Override
    public double weight(final Case ticket) {
        return 0;
    }

    @Override
    public Finding weigh(final Case ticket, final Sight worker) {
        if (worker.worker().leaving()) {
            return new Finding.Veto("it is leaving");
        }
        if (worker.age() > oldest) {
            return new Finding.Veto("its word is older than " + oldest / 1000 + " ms");
        }
        return worker.shunned() ? new Finding.Later("a try there failed just now") : new Finding.Score(1);
    }
}
