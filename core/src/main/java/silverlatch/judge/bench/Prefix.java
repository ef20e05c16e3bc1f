package silverlatch.judge.bench;

import java.util.List;
import silverlatch.judge.Case;
import silverlatch.judge.Finding;
import silverlatch.judge.Judge;
import silverlatch.judge.Sight;

/** Favours a worker that keeps the longest part of the prefix. */
public final class Prefix implements Judge {
    @Override
    public String name() {
        return "prefix";
    }

    @Override
    public double weight(final Case ticket) {
        return ticket.row().prefix();
    }

    @Override
    public Finding weigh(final Case ticket, final Sight worker) {
        final List<Long> want = ticket.prefix();
        int held = 0;
        while (held < want.size() && worker.worker().kept().contains(want.get(held))) {
            held++;
        }
        return new Finding.Score(want.isEmpty() ? 0 : (double) held / want.size());
    }
}
