package silverlatch.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.esotericsoftware.kryo.io.Output;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;

final class CodecTest {
    private static final Member ME =
            new Member("p", "gateway", "z", "r", "127.0.0.1:1", "127.0.0.1:2", 3, 4, "up", true);
    private static final Frame FRAME = new Frame(
            new Stamp(77),
            5,
            "p",
            "127.0.0.1:1",
            3,
            new GossipMessage.GossipPush(
                    List.of(ME),
                    List.of(new Worker("w", "a", "z", "r", 1, 2, 3, 4, 5, List.of(6L, 7L, 8L), true, 9)),
                    10));
    private final Codec codec = new Codec();

    @Test
    void aFrameSurvivesTheWire() {
        assertThat(codec.decode(codec.encode(FRAME), Frame.class), is(new Codec.DecodeResult.Decoded<>(FRAME)));
    }

    @Test
    void aTypeThatWasAddedLaterSurvivesTheDisk() {
        final silverlatch.state.Value added = new silverlatch.state.Value.AcceptedConfiguration(7, 5, 6, "digest");
        assertThat(
                codec.decode(codec.encode(added), silverlatch.state.Value.class),
                is(new Codec.DecodeResult.Decoded<>(added)));
    }

    @Test
    void aFrameWithoutAStampCanNotBeMade() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Frame(Stamp.NONE, 5, "p", "a", 3, new MembershipMessage.Heartbeat(ME)));
    }

    @Test
    void aClassThatIsNotRegisteredCanNotBeWritten() {
        assertThrows(IllegalArgumentException.class, () -> codec.encode(new java.util.Date()));
    }

    @Test
    void garbledBytesAreBadAndNeverMoreThanBad() {
        final byte[] good = codec.encode(FRAME);
        final SplittableRandom luck = new SplittableRandom(11);
        int bad = 0;
        for (int i = 0; i < 20_000; i++) {
            final byte[] hurt = luck.nextBoolean() ? good.clone() : Arrays.copyOf(good, luck.nextInt(good.length));
            for (int k = luck.nextInt(4); k >= 0 && hurt.length > 0; k--) {
                hurt[luck.nextInt(hurt.length)] = (byte) luck.nextInt(256);
            }
            bad += codec.decode(hurt, Frame.class) instanceof Codec.DecodeResult.Malformed ? 1 : 0;
        }
        assertThat(bad, greaterThan(5_000));
        assertThat(codec.decode(good, Frame.class), instanceOf(Codec.DecodeResult.Decoded.class));
    }

    @Test
    void aSizeBeyondTheBytesAtHandIsBad() {
        final Output out = new Output(64, 64);
        final byte[] good = codec.encode("text");
        out.writeBytes(good, 0, 1);
        out.writeInt(Integer.MAX_VALUE);
        assertThat(codec.decode(out.toBytes(), String.class), instanceOf(Codec.DecodeResult.Malformed.class));
    }
}
