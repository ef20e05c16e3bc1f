package silverlatch.judge.bench;

import silverlatch.judge.Case;
import silverlatch.judge.Finding;
import silverlatch.judge.Judge;
import silverlatch.judge.Sight;

/** Never lets work into a zone that is being emptied. */
public final class Zone implements Judge {
    @Override
    public String name() {
        return "zone";
    }

    @Override
    public double weight(final Case ticket) {
        return 0;
    }

    @Override
    public Finding weigh(final Case ticket, final Sight worker) {
        return ticket.empty().contains(worker.worker().zone())
                ? new Finding.Veto("zone " + worker.worker().zone() + " is being emptied") : new Finding.Score(1);
    }
}
