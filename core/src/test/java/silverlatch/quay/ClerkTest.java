package silverlatch.quay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.deck.Effect;
import silverlatch.tariff.Verdict;
import silverlatch.tariff.Wish;
import silverlatch.wire.Msg;

final class ClerkTest {
    private View view = new View(1, 1, List.of(), List.of(new Berth("a", "a"), new Berth("b", "b")), "a");
    private final Clerk clerk = new Clerk("me", () -> view, 10);

    private List<String> sent() {
        return clerk.drain().stream().filter(e -> e instanceof Effect.Send).map(e -> ((Effect.Send) e).to()).toList();
    }

    @Test
    void aWishGoesToTheHeadOfTheNewestViewUntilItIsToldAndEndsUnknownWithItsId() {
        clerk.wish(new Wish.Zone("order-1", "z", true, -1), 5, 0, 1_000_000);
        assertThat(sent(), is(List.of("a")));
        view = new View(2, 1, List.of(), List.of(new Berth("b", "b")), "b");
        clerk.tick(300_000);
        assertThat(sent(), is(List.of("b")));
        clerk.on(new Msg.Wrote(11, new Verdict.Unknown("order-1")));
        assertThat(clerk.drain(), is(List.of()));
        clerk.tick(1_000_000);
        assertThat(clerk.drain(), is(List.of((Effect) new Effect.Answer(5, new Verdict.Unknown("order-1")))));
    }

    @Test
    void aQuestionGoesToTheTailAndAReplyThatIsNotSureIsNoReply() {
        clerk.read("r/", 6, 0, 1_000_000);
        assertThat(sent(), is(List.of("b")));
        clerk.on(new Msg.Seen(11, false, 0, List.of()));
        assertThat(clerk.drain(), is(List.of()));
        clerk.on(new Msg.Seen(11, true, 9, List.of()));
        assertThat(clerk.drain(), is(List.of((Effect) new Effect.Answer(6, new Clerk.Page(true, 9, List.of())))));
    }
}
