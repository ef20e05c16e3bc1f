package silverlatch.util;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/**
 * Guards against changed digests, which would invalidate the stored hashes of keys, and against secrets that match only
 * in part.
 */
final class DigestsTest {
    @Test
    void sha256HexMatchesAKnownDigest() {
        assertThat(Digests.sha256Hex("abc"), is("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"));
    }

    @Test
    void secretsAreEqualOnlyIfTheirWholeTextIs() {
        assertThat(Digests.constantTimeEquals("abc", "abc"), is(true));
        assertThat(Digests.constantTimeEquals("abc", "abd"), is(false));
        assertThat(Digests.constantTimeEquals("abc", "ab"), is(false));
    }
}
