package silverlatch.statemachine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class TransitionTableTest {
    @Test
    void everyTransitionTableIsValidAndDecides() {
        for (final String name : new String[] {"ticket"}) {
            TransitionTable.load(name);
        }
        final TransitionTable ticket = TransitionTable.load("ticket");
        assertThat(ticket.transition("asking", "start"), is("running"));
        assertThat(ticket.isFinal("rejected"), is(true));
        assertThrows(IllegalStateException.class, () -> ticket.transition("rejected", "start"));
        assertThrows(IllegalStateException.class, () -> ticket.transition("running", "reject"));
    }

    @Test
    void invalidTableIsRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> TransitionTable.parse(
                        "{\"name\":\"x\",\"start\":\"a\",\"ends\":[\"b\"],\"moves\":[[\"a\",\"go\",\"b\"],[\"a\",\"go\",\"a\"]]}"));
        assertThrows(
                IllegalArgumentException.class,
                () -> TransitionTable.parse(
                        "{\"name\":\"x\",\"start\":\"a\",\"ends\":[\"b\",\"c\"],\"moves\":[[\"a\",\"go\",\"b\"]]}"));
        assertThrows(
                IllegalArgumentException.class,
                () -> TransitionTable.parse(
                        "{\"name\":\"x\",\"start\":\"a\",\"ends\":[],\"moves\":[[\"a\",\"go\",\"b\"]]}"));
    }
}
