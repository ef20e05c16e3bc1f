package silverlatch.judge.bench;

import silverlatch.judge.Case;
import silverlatch.judge.Finding;
import silverlatch.judge.Judge;
import silverlatch.judge.Sight;

/** Favours a worker with free slots, and waits for a full one. */
public final class Load implements Judge {
    @Override
    public String name() {
        return "load";
    }

    @Override
    public double weight(final Case ticket) {
        return ticket.row().load();
    }

    @Override
    public Finding weigh(final Case ticket, final Sight worker) {
        final int slots = Math.max(1, worker.worker().slots());
        if (worker.busy() >= slots || worker.mine() >= slots) {
            return new Finding.Later("all " + slots + " slots are taken");
        }
        return new Finding.Score(1 - (double) worker.busy() / slots);
    }
}
