package silverlatch.util;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.Test;

/** Guards against changed hash values: processes of different versions compare digests that are made with them. */
final class Fnv1aTest {
    @Test
    void asciiTextsHaveThePublishedHashes() {
        assertThat(Fnv1a.hash(""), is(0xCBF29CE484222325L));
        assertThat(Fnv1a.hash("a"), is(0xAF63DC4C8601EC8CL));
        assertThat(Fnv1a.hash("foobar"), is(0x85944171F73967E8L));
    }

    @Test
    void codeUnitsAboveOneByteAreHashedAsAWhole() {
        assertThat(Fnv1a.hash("\u0161"), is((0xCBF29CE484222325L ^ 0x161) * 0x100000001B3L));
    }

    @Test
    void seedChangesTheHash() {
        assertThat(Fnv1a.hash("a", 0), is(Fnv1a.hash("a")));
        assertThat(Fnv1a.hash("a", 1), not(Fnv1a.hash("a")));
    }
}
