package silverlatch.state;

import java.util.ArrayList;
import java.util.List;

/**
 * Evaluates commands that advance the epoch: the fleet's shared time, counted by monotonic clocks. Each command
 * advances it by one and deletes the claims that expire with it.
 */
final class EpochManager {
    /**
     * Advances the epoch to the command's, which must be the next one. A command for an epoch that is already
     * reached is acknowledged again.
     */
    Evaluation advance(final Command.AdvanceEpoch command, final EvaluationContext context) {
        final long current = context.epoch();
        if (command.epoch() <= current) {
            return new Evaluation.Reply(new CommandResult.Applied(context.revisionOf(EntryKeys.EPOCH)));
        }
        if (command.epoch() != current + 1) {
            return RejectionCause.CONFLICT.reply("the glass was turned " + current + " times", current);
        }
        final List<Entry> writes = new ArrayList<>();
        writes.add(context.write(EntryKeys.EPOCH, new Value.Epoch(command.epoch())));
        writes.addAll(ClaimManager.expiredClaimDeletions(command.epoch(), context));
        return new Evaluation.Write(writes);
    }
}
