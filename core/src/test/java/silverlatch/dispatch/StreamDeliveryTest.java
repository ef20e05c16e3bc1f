package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.permit.Permit;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/**
 * Guards against losing, repeating or mixing up records of a stream when the reader is slow, is replaced by a reconnecting call,
 * or gets a rejection instead of a stream.
 */
final class StreamDeliveryTest {
    private final RequestTable requests = new RequestTable(4);
    private final DispatchOutput output = new DispatchOutput(new SplittableRandom(1));
    private final StreamDelivery delivery = new StreamDelivery(requests, output);
    private final DispatchedRequest request = new DispatchedRequest(
            new Permit("r1", "one", "ask", "w1", "p1", 1, 1, new Stamp(1), 9, ""),
            new Value.Tenant("one", List.of(), 1, "hash", "salt"),
            TableRules.defaultRow("*", "ask"),
            new SubmittedRequest("", "", List.of(), "", 1_000_000),
            List.of(),
            1,
            0);

    StreamDeliveryTest() {
        requests.add(request);
        delivery.open(request, 1);
        request.apply(RequestEvent.ENQUEUE);
        request.apply(RequestEvent.START_ATTEMPT);
        request.apply(RequestEvent.RUN);
    }

    private StreamRecord.Chunk append() {
        final StreamRecord.Chunk chunk =
                new StreamRecord.Chunk("r1", "r1.1", request.response().size(), "text");
        request.response().append(chunk);
        return chunk;
    }

    private List<DispatchEffect> write() {
        delivery.write(request);
        return output.drain();
    }

    @Test
    void sendsOneWriteEachTimeTheReaderBecomesReady() {
        final StreamRecord.Chunk first = append();
        assertThat(write(), is(List.of(new DispatchEffect.StreamWrite(1, List.of(first), false))));
        final StreamRecord.Chunk second = append();
        final StreamRecord.Chunk third = append();
        assertThat(write(), is(List.of()));
        delivery.onReaderReady(1);
        assertThat(output.drain(), is(List.of(new DispatchEffect.StreamWrite(1, List.of(second, third), false))));
    }

    @Test
    void boundsEachWriteAndEndsTheStreamWithTheLast() {
        for (int i = 0; i < 300; i++) {
            append();
        }
        request.apply(RequestEvent.COMPLETE);
        delivery.write(request);
        delivery.onReaderReady(1);
        final List<DispatchEffect> writes = output.drain();
        assertThat(writes.size(), is(2));
        assertThat(
                writes.get(0),
                is(new DispatchEffect.StreamWrite(1, request.response().records(0, 256), false)));
        assertThat(
                writes.get(1),
                is(new DispatchEffect.StreamWrite(1, request.response().records(256, 300), true)));
        delivery.onReaderReady(1);
        assertThat("no write follows the end of the stream", output.drain(), is(List.of()));
    }

    @Test
    void endsThePreviousReadersStreamWhenAnotherCallAttaches() {
        final StreamRecord.Chunk first = append();
        write();
        delivery.attach(request, 2, 0);
        assertThat(
                output.drain(),
                is(List.of(
                        new DispatchEffect.StreamWrite(1, List.of(), true),
                        new DispatchEffect.StreamWrite(2, List.of(first), false))));
        delivery.onReaderReady(1);
        append();
        assertThat("the first call gets no further write", output.drain(), is(List.of()));
        assertThat(delivery.onReaderDisconnected(1, 5), is(Optional.empty()));
        assertThat(delivery.onReaderDisconnected(2, 5), is(Optional.of(request)));
        assertThat(request.reader().isAbsentLongerThan(10, 15), is(false));
        assertThat(request.reader().isAbsentLongerThan(10, 16), is(true));
    }

    @Test
    void rejectsTheReaderOnceAndSendsNoStreamAfterwards() {
        delivery.reject(request, Rejection.permanent(Rejection.GONE, "gone"));
        assertThat(
                output.drain().stream()
                        .filter(DispatchEffect.Rejected.class::isInstance)
                        .count(),
                is(1L));
        delivery.reject(request, Rejection.permanent(Rejection.GONE, "gone"));
        delivery.close(request);
        assertThat(output.drain(), is(List.of()));
    }
}
