package silverlatch.simulation.sim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;
import silverlatch.node.Effect;
import silverlatch.node.OutgoingFrame;
import silverlatch.replication.ChainClient;
import silverlatch.state.CommandResult;
import silverlatch.wire.Codec;

/**
 * Computes two digests of a simulated day: of its course (what each process does, and when) and of the bytes of its frames. The
 * course contains times, node names, numbers and outcomes, but no message texts and no names of types or constants, so that
 * renaming doesn't change it.
 */
final class DayDigest implements WorldListener {
    private final MessageDigest course = sha256();
    private final MessageDigest bytes = sha256();
    private final Codec codec = new Codec();
    private final ByteBuffer word = ByteBuffer.allocate(Long.BYTES);
    private long events;

    /** Returns the number of events, the digest of the day's course and counters, and the digest of the bytes of all frames. */
    String of(final Day.Result day) {
        number(day.violations().size());
        day.counters().values().stream().sorted().forEach(this::number);
        return events + " " + HexFormat.of().formatHex(course.digest()) + " "
                + HexFormat.of().formatHex(bytes.digest());
    }

    @Override
    public void frameSent(final long time, final String node, final OutgoingFrame frame) {
        event('f', time, node);
        text(frame.to());
        final byte[] encoded = codec.encode(frame.frame());
        bytes.update(ByteBuffer.allocate(Integer.BYTES).putInt(encoded.length).flip());
        bytes.update(encoded);
    }

    @Override
    public void effect(final long time, final String node, final Effect effect) {
        event('e', time, node);
        switch (effect) {
            case Effect.Send send -> throw new IllegalArgumentException("a node returned a message without a stamp");
            case Effect.Persist keep ->
                numbers('k', keep.token(), keep.records().size());
            case Effect.SaveReports save ->
                numbers('w', save.token(), save.reports().size());
            case Effect.Respond answer -> {
                numbers('a', answer.token());
                if (answer.response() instanceof CommandResult result) {
                    result(result);
                } else if (answer.response() instanceof ChainClient.ReadResult page) {
                    numbers(
                            'p',
                            page.answered() ? 1 : 0,
                            page.sequence(),
                            page.entries().size());
                }
            }
            case Effect.Log log -> numbers('l', log.event().number());
        }
    }

    @Override
    public void action(final long time, final String node, final DispatchEffect action) {
        event('a', time, node);
        switch (action) {
            case DispatchEffect.Placed picked -> {
                numbers('p', picked.callId(), picked.revision(), picked.timestamp());
                text(picked.requestId() + " " + picked.gateway() + " " + picked.worker());
            }
            case DispatchEffect.Redirected pointed ->
                numbers('o', pointed.callId(), pointed.endpoints().size());
            case DispatchEffect.Rejected rejected -> {
                numbers('r', rejected.callId(), rejected.statusCode(), rejected.retryAfter());
                text(rejected.requestId());
            }
            case DispatchEffect.StreamWrite flow -> {
                numbers('f', flow.callId(), flow.endOfStream() ? 1 : 0);
                flow.records().forEach(this::streamRecord);
            }
            case DispatchEffect.StartAttempt run -> {
                numbers('u', run.operationId(), run.sendDeadline());
                text(run.worker() + " " + run.requestId() + " " + run.attemptId() + " " + run.tenant() + " "
                        + run.kind());
            }
            case DispatchEffect.CancelAttempt cut -> numbers('c', cut.operationId());
            case DispatchEffect.SubmitCommand claim -> numbers('m', claim.operationId(), claim.timeout());
            case DispatchEffect.PlacementDecided judged ->
                numbers('j', judged.candidates().size(), judged.seed(), judged.revision());
            case DispatchEffect.RequestEnded ended -> {
                numbers('e');
                text(ended.requestId());
            }
            case DispatchEffect.Log log -> numbers('l', log.event().number());
        }
    }

    private void streamRecord(final StreamRecord line) {
        switch (line) {
            case StreamRecord.Chunk piece -> {
                numbers('p', piece.index());
                text(piece.requestId() + " " + piece.attemptId() + " " + piece.text());
            }
            case StreamRecord.Trailer seal -> {
                numbers('s', seal.chunkCount());
                text(seal.worker() + " " + seal.requestId() + " " + seal.attemptId() + " " + seal.sha256());
            }
            case StreamRecord.Lost lost -> {
                numbers('l');
                text(lost.requestId());
            }
        }
    }

    private void result(final CommandResult result) {
        switch (result) {
            case CommandResult.Applied applied -> numbers('a', applied.sequence());
            case CommandResult.Rejected rejected ->
                numbers('r', rejected.code(), rejected.faults().size(), rejected.sequence());
            case CommandResult.AlreadyClaimed claimed -> numbers('c');
            case CommandResult.Unknown unknown -> numbers('u');
        }
    }

    private void event(final char kind, final long time, final String node) {
        events++;
        numbers(kind, time);
        text(node);
    }

    private void numbers(final char kind, final long... values) {
        number(kind);
        for (final long value : values) {
            number(value);
        }
    }

    private void number(final long value) {
        course.update(word.clear().putLong(value).flip());
    }

    private void text(final String text) {
        final byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
        number(encoded.length);
        course.update(encoded);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (final NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every JDK has SHA-256", missing);
        }
    }
}
