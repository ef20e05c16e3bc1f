package silverlatch.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Writes responses to the calls that read them. A call gets one write of bounded size each time its transport signals that it
 * can accept more. Used only by the dispatch event loop.
 */
final class StreamDelivery {
    private static final int MAX_RECORDS_PER_WRITE = 256;
    private final RequestTable requests;
    private final DispatchOutput output;
    private final Map<Long, Long> handlesByCall = new HashMap<>();

    StreamDelivery(final RequestTable requests, final DispatchOutput output) {
        this.requests = requests;
        this.output = output;
    }

    /** Registers the call that submitted a request as the reader of its response. */
    void open(final DispatchedRequest request, final long callId) {
        handlesByCall.put(callId, request.handle());
    }

    /** Makes a call the reader of a response from the given record on; ends the stream of the previous reader if there is one. */
    void attach(final DispatchedRequest request, final long callId, final int firstRecord) {
        request.reader().callId().filter(previous -> previous != callId).ifPresent(this::endCall);
        request.reader().attach(callId, firstRecord);
        handlesByCall.put(callId, request.handle());
        write(request);
    }

    /** Handles the event that the transport of a call can accept the next write. */
    void onReaderReady(final long callId) {
        Optional.ofNullable(handlesByCall.get(callId))
                .flatMap(requests::byHandle)
                .filter(request -> request.reader().isCall(callId))
                .ifPresent(request -> {
                    request.reader().markReady();
                    write(request);
                });
    }

    /** Handles the loss of a call's connection; returns the request whose response the call read. */
    Optional<DispatchedRequest> onReaderDisconnected(final long callId, final long now) {
        final Optional<DispatchedRequest> read = Optional.ofNullable(handlesByCall.remove(callId))
                .flatMap(requests::byHandle)
                .filter(request -> request.reader().isCall(callId));
        read.ifPresent(request -> request.reader().markDisconnected(now));
        return read;
    }

    /** Writes the next records that the reader has not received, if it is ready. */
    void write(final DispatchedRequest request) {
        final StreamReader reader = request.reader();
        final int size = request.response().size();
        final boolean isEnded = request.state().isFinal();
        if (!reader.isReady() || request.state() == RequestState.REJECTED || size == reader.nextRecord() && !isEnded) {
            return;
        }
        final int end = Math.min(size, reader.nextRecord() + MAX_RECORDS_PER_WRITE);
        final boolean endOfStream = isEnded && end == size;
        final long callId = reader.callId().orElseThrow();
        output.add(new DispatchEffect.StreamWrite(
                callId, request.response().records(reader.nextRecord(), end), endOfStream));
        reader.markSentUpTo(end);
        if (endOfStream) {
            detachReader(request, callId);
        }
    }

    /** Replies to the reader, if there is one, with a rejection instead of a stream. */
    void reject(final DispatchedRequest request, final Rejection rejection) {
        request.reader().callId().ifPresent(callId -> {
            handlesByCall.remove(callId);
            output.reject(callId, request.id(), rejection);
        });
        request.reader().detach();
    }

    /** Ends the reader's stream, if there is a reader, without a further record. */
    void close(final DispatchedRequest request) {
        request.reader().callId().ifPresent(this::endCall);
    }

    private void endCall(final long callId) {
        handlesByCall.remove(callId);
        output.add(new DispatchEffect.StreamWrite(callId, List.of(), true));
    }

    private void detachReader(final DispatchedRequest request, final long callId) {
        handlesByCall.remove(callId);
        request.reader().detach();
    }
}
