package silverlatch.judge.bench;

import silverlatch.judge.Case;
import silverlatch.judge.Finding;
import silverlatch.judge.Judge;
import silverlatch.judge.Sight;

/** Counts the cost of leaving the zone or the region. */
public final class Cross implements Judge {
    @Override
    public String name() {
        return "cross";
    }

    @Override
    public double weight(final Case ticket) {
        return ticket.row().cross();
    }

    @Override
    public Finding weigh(final Case ticket, final Sight worker) {
        if (!worker.worker().region().equals(ticket.region())) {
            return new Finding.Score(0);
        }
        return new Finding.Score(worker.worker().zone().equals(ticket.zone()) ? 1 : 0.6);
    }
}
