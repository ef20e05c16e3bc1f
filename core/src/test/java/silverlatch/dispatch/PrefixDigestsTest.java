package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.util.Digests;

/** Guards the derivation of salted prefix digests, by which workers and gateways recognize cached prefixes of a tenant. */
final class PrefixDigestsTest {
    @Test
    void keepsTheFirst48BitsOfEachSaltedHashInOrder() {
        final List<Long> salted = PrefixDigests.salted("salt", List.of("a", "b"));
        assertThat(
                salted.stream().map(digest -> String.format("%012x", digest)).toList(),
                is(List.of(
                        Digests.sha256Hex("salt|a").substring(0, 12),
                        Digests.sha256Hex("salt|b").substring(0, 12))));
        assertThat(PrefixDigests.salted("pepper", List.of("a")).equals(salted.subList(0, 1)), is(false));
    }
}
