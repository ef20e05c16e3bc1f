package silverlatch.judge.bench;

import silverlatch.judge.Case;
import silverlatch.judge.Finding;
import silverlatch.judge.Judge;
import silverlatch.judge.Sight;

/** Never lets a ticket out of its tenant's homes. */
public final class Home implements Judge {
    @Override
    public String name() {
        return "home";
    }

    @Override
    public double weight(final Case ticket) {
        return 0;
    }

    @Override
    public Finding weigh(final Case ticket, final Sight worker) {
        return ticket.tenant().homes().isEmpty() || ticket.tenant().homes().contains(worker.worker().region())
                ? new Finding.Score(1) : new Finding.Veto("region " + worker.worker().region() + " is no home");
    }
}
