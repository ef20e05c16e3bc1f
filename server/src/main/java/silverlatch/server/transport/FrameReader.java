package silverlatch.server.transport;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.wire.Codec;
import silverlatch.wire.CodecPool;
import silverlatch.wire.Frame;

/**
 * Reads the frames of one accepted connection on its own thread, and acknowledges them with single bytes. An acknowledgement is sent
 * after a frame if no further frame can be read yet or the last acknowledgement is older than 200 ms, and after each chunk of a large
 * frame, so that the sender sees progress.
 */
final class FrameReader {
    /** Frames longer than this are acknowledged chunk by chunk. */
    static final int CHUNK_BYTES = 64 << 10;

    private static final int READ_TIMEOUT_MS = 30_000;
    private static final long ACK_INTERVAL_MICROS = 200_000L;
    private static final int ACK = 1;
    private final Socket socket;
    private final CodecPool codecs;
    private final Consumer<Frame> sink;
    private final BooleanSupplier isStopped;
    private long lastAck;

    FrameReader(
            final Socket socket, final CodecPool codecs, final Consumer<Frame> sink, final BooleanSupplier isStopped) {
        this.socket = socket;
        this.codecs = codecs;
        this.sink = sink;
        this.isStopped = isStopped;
    }

    /**
     * Passes frames to the sink until the transport stops, then closes the connection.
     *
     * @throws MalformedFrameException if the peer sent bytes that aren't a valid frame
     * @throws IOException if the connection failed or the peer closed it
     */
    void run() throws IOException {
        try (socket;
                DataInputStream in =
                        new DataInputStream(new BufferedInputStream(socket.getInputStream(), CHUNK_BYTES))) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            lastAck = EventLoop.nowMicros();
            PeerConnection.enableKeepAlive(socket);
            final OutputStream acks = socket.getOutputStream();
            while (!isStopped.getAsBoolean()) {
                final Frame frame = decode(readFrame(in, acks));
                if (in.available() < Integer.BYTES || EventLoop.nowMicros() - lastAck > ACK_INTERVAL_MICROS) {
                    lastAck = EventLoop.nowMicros();
                    acks.write(ACK);
                }
                sink.accept(frame);
            }
        }
    }

    private Frame decode(final byte[] bytes) throws MalformedFrameException {
        return switch (codecs.decode(bytes, Frame.class)) {
            case Codec.DecodeResult.Decoded<Frame> decoded -> decoded.value();
            case Codec.DecodeResult.Malformed<Frame> malformed -> throw new MalformedFrameException(malformed.reason());
        };
    }

    private static byte[] readFrame(final DataInputStream in, final OutputStream acks) throws IOException {
        final int size = in.readInt();
        if (size <= 0 || size > Codec.MAX_BYTES) {
            throw new MalformedFrameException("invalid frame length " + size);
        }
        final ByteArrayOutputStream frame = new ByteArrayOutputStream(Math.min(size, CHUNK_BYTES));
        while (frame.size() < size) {
            final byte[] chunk = in.readNBytes(Math.min(CHUNK_BYTES, size - frame.size()));
            if (chunk.length == 0) {
                throw new EOFException("the peer closed the connection within a frame");
            }
            frame.write(chunk);
            if (size > CHUNK_BYTES) {
                acks.write(ACK);
            }
        }
        return frame.toByteArray();
    }
}
