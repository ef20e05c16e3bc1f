package silverlatch.dispatch.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;

/** Guards against accepting forged or changed permits, and against a change of the text format between versions. */
final class PermitSignerTest {
    private static final PermitSigner SIGNER = new PermitSigner("a-cluster-key-for-tests");
    private static final Permit PERMIT = new Permit(
            "p1-7-1abc", "one", "ask", "w1", "p1", 7, 3, new Stamp(1_001), 105_000_000, "a|key of \u00fcml\u00e4uts");

    @Test
    void verifiesASignedPermitUnchanged() {
        assertThat(SIGNER.verify(SIGNER.sign(PERMIT)), is(Optional.of(PERMIT)));
    }

    @Test
    void keepsTheEncodingOfSignedPermits() {
        final Permit permit = new Permit("t", "one", "ask", "w1", "p1", 7, 3, new Stamp(5), 9, "k");
        assertThat(
                SIGNER.sign(permit).substring(0, SIGNER.sign(permit).indexOf('.')),
                is("dHxvbmV8YXNrfHcxfHAxfDd8M3w1fDl8NmI"));
    }

    @Test
    void rejectsAChangedTextOrAnotherKey() {
        final String text = SIGNER.sign(PERMIT);
        assertThat(new PermitSigner("another-key").verify(text), is(Optional.empty()));
        for (int i = 0; i < text.indexOf('.'); i++) {
            final char changed = text.charAt(i) == 'A' ? 'B' : 'A';
            assertThat(SIGNER.verify(text.substring(0, i) + changed + text.substring(i + 1)), is(Optional.empty()));
        }
        for (final String malformed : List.of("", ".", "a", "a.b", "a.%", "x".repeat(5_000) + ".y")) {
            assertThat(SIGNER.verify(malformed), is(Optional.empty()));
        }
    }
}
