package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.EnumSet;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Compares the legal transitions and the labels of states, which are part of the API, with an independent list. Guards against
 * an added transition by which a request that may have run is rejected, so that clients would run it twice.
 */
final class RequestStateTest {
    private static final Set<String> LEGAL = Set.of(
            "new ENQUEUE queued",
            "new REJECT rejected",
            "queued CLAIM claiming",
            "queued START_ATTEMPT asking",
            "queued REJECT rejected",
            "claiming START_ATTEMPT asking",
            "claiming REJECT rejected",
            "asking RETRY queued",
            "asking RUN running",
            "asking REJECT rejected",
            "asking LOSE lost",
            "running COMPLETE done",
            "running LOSE lost");

    @Test
    void allowsOnlyTheListedTransitions() {
        final Set<String> legal = new TreeSet<>();
        int illegalTransitions = 0;
        for (final RequestState state : RequestState.values()) {
            for (final RequestEvent event : RequestEvent.values()) {
                try {
                    legal.add(state.label() + " " + event + " "
                            + state.after(event).label());
                } catch (final IllegalRequestTransitionException illegal) {
                    illegalTransitions++;
                }
            }
        }
        assertThat(legal, is(new TreeSet<>(LEGAL)));
        assertThat(illegalTransitions, is(RequestState.values().length * RequestEvent.values().length - LEGAL.size()));
    }

    @Test
    void treatsOnlyDoneRejectedAndLostAsFinal() {
        final Set<RequestState> finalStates = EnumSet.noneOf(RequestState.class);
        for (final RequestState state : RequestState.values()) {
            if (state.isFinal()) {
                finalStates.add(state);
            }
        }
        assertThat(finalStates, is(EnumSet.of(RequestState.DONE, RequestState.REJECTED, RequestState.LOST)));
    }

    @Test
    void neverRejectsARunningRequest() {
        final IllegalRequestTransitionException exception = assertThrows(
                IllegalRequestTransitionException.class, () -> RequestState.RUNNING.after(RequestEvent.REJECT));
        assertThat(exception.getMessage(), containsString("RUNNING does not accept event REJECT"));
    }
}
