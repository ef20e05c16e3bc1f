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

/** Checks that frames survive encoding and decoding, and that invalid input is rejected without an exception. */
final class CodecTest {
    private static final Member MEMBER =
            new Member("p", "gateway", "z", "r", "127.0.0.1:1", "127.0.0.1:2", 3, 4, "up", true);
    private static final Frame FRAME = new Frame(
            new Stamp(77),
            5,
            "p",
            "127.0.0.1:1",
            3,
            new GossipMessage.GossipPush(
                    List.of(MEMBER),
                    List.of(new Worker("w", "a", "z", "r", 1, 2, 3, 4, 5, List.of(6L, 7L, 8L), true, 9)),
                    10));
    private final Codec codec = new Codec();

    @Test
    void decodesAnEncodedFrame() {
        assertThat(codec.decode(codec.encode(FRAME), Frame.class), is(new Codec.DecodeResult.Decoded<>(FRAME)));
    }

    @Test
    void decodesAValueOfATypeAddedLater() {
        final silverlatch.state.Value value = new silverlatch.state.Value.AcceptedConfiguration(7, 5, 6, "digest");
        assertThat(
                codec.decode(codec.encode(value), silverlatch.state.Value.class),
                is(new Codec.DecodeResult.Decoded<>(value)));
    }

    @Test
    void rejectsAFrameWithoutAStamp() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Frame(Stamp.NONE, 5, "p", "a", 3, new MembershipMessage.Heartbeat(MEMBER)));
    }

    @Test
    void refusesToEncodeAnUnregisteredClass() {
        assertThrows(IllegalArgumentException.class, () -> codec.encode(new java.util.Date()));
    }

    @Test
    void decodingCorruptedBytesNeverThrows() {
        final byte[] valid = codec.encode(FRAME);
        final SplittableRandom random = new SplittableRandom(11);
        int malformedCount = 0;
        for (int i = 0; i < 20_000; i++) {
            final byte[] corrupted =
                    random.nextBoolean() ? valid.clone() : Arrays.copyOf(valid, random.nextInt(valid.length));
            for (int k = random.nextInt(4); k >= 0 && corrupted.length > 0; k--) {
                corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
            }
            malformedCount += codec.decode(corrupted, Frame.class) instanceof Codec.DecodeResult.Malformed ? 1 : 0;
        }
        assertThat(malformedCount, greaterThan(5_000));
        assertThat(codec.decode(valid, Frame.class), instanceOf(Codec.DecodeResult.Decoded.class));
    }

    @Test
    void rejectsASizeThatExceedsTheInput() {
        final Output out = new Output(64, 64);
        final byte[] valid = codec.encode("text");
        out.writeBytes(valid, 0, 1);
        out.writeInt(Integer.MAX_VALUE);
        assertThat(codec.decode(out.toBytes(), String.class), instanceOf(Codec.DecodeResult.Malformed.class));
    }
}
