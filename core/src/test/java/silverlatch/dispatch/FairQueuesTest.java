package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.permit.Permit;
import silverlatch.state.Value;

/** Guards the order in which tenants and priorities are served and shed, and the rate limit and removal of queues. */
final class FairQueuesTest {
    private static final long SECOND = 1_000_000;
    private final FairQueues queues = new FairQueues();
    private int lastRequestNumber;

    private DispatchedRequest request(final String tenant, final String kind, final double share, final int priority) {
        lastRequestNumber++;
        final Permit permit =
                new Permit("r" + lastRequestNumber, tenant, kind, "", "p1", 1, 1, new Stamp(1), lastRequestNumber, "");
        final Value.Row row = new Value.Row("*", kind, 1, 1, 1, 1, 50, 100, 32, 64, 2 * SECOND, false, priority);
        return new DispatchedRequest(
                permit,
                new Value.Tenant(tenant, List.of(), share, "hash", "salt"),
                row,
                new SubmittedRequest("", "", List.of(), "", SECOND),
                List.of(),
                lastRequestNumber,
                0);
    }

    private List<String> serve(final int count) {
        final List<String> order = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            final RequestQueue queue = queues.next(Set.of()).orElseThrow();
            order.add(queue.name());
            queues.serve(queue);
        }
        return order;
    }

    @Test
    void servesTenantsInProportionToTheirQuotaShares() {
        for (int i = 0; i < 60; i++) {
            queues.addLast(request("one", "ask", 1, 1));
            queues.addLast(request("two", "ask", 3, 1));
        }
        final Map<String, Integer> served = new HashMap<>();
        serve(40).forEach(name -> served.merge(name, 1, Integer::sum));
        assertThat(served, is(Map.of("one/ask", 10, "two/ask", 30)));
        assertThat(queues.size(), is(80));
    }

    @Test
    void givesATenantNoCreditForIdleTime() {
        for (int i = 0; i < 20; i++) {
            queues.addLast(request("one", "ask", 1, 1));
        }
        serve(10);
        for (int i = 0; i < 10; i++) {
            queues.addLast(request("two", "ask", 1, 1));
        }
        final long servedOfSecondTenant =
                serve(10).stream().filter(name -> name.equals("two/ask")).count();
        assertThat(servedOfSecondTenant, is(5L));
    }

    @Test
    void servesTheHigherPriorityOfATenantFirstAndSkipsBlockedQueues() {
        queues.addLast(request("one", "low", 1, 1));
        queues.addLast(request("one", "high", 1, 2));
        final RequestQueue first = queues.next(Set.of()).orElseThrow();
        assertThat(first.name(), is("one/high"));
        final Set<RequestQueue> blocked = new HashSet<>(Set.of(first));
        final RequestQueue second = queues.next(blocked).orElseThrow();
        assertThat(second.name(), is("one/low"));
        blocked.add(second);
        assertThat(queues.next(blocked), is(Optional.empty()));
    }

    @Test
    void selectsTheNewestRequestOfTheLowestPriorityForShedding() {
        queues.addLast(request("one", "low", 1, 1));
        final DispatchedRequest newest = request("two", "low", 1, 1);
        queues.addLast(newest);
        queues.addLast(request("two", "high", 1, 2));
        assertThat(queues.lowestPriority(), is(Optional.of(newest)));
        queues.remove(newest);
        assertThat(queues.size(), is(2));
        queues.remove(newest);
        assertThat(queues.size(), is(2));
    }

    @Test
    void putsARetriedRequestAtTheHeadOfItsQueue() {
        final DispatchedRequest retried = request("one", "ask", 1, 1);
        queues.addLast(request("one", "ask", 1, 1));
        queues.addFirst(retried);
        assertThat(queues.next(Set.of()).orElseThrow().first(), is(retried));
    }

    @Test
    void allowsRemovalWhileIteratingOverQueuedRequests() {
        for (int i = 0; i < 5; i++) {
            queues.addLast(request("one", "ask", 1, 1));
            queues.addLast(request("two", "ask", 1, 1));
        }
        queues.forEachQueued(queues::remove);
        assertThat(queues.size(), is(0));
        assertThat(queues.next(Set.of()), is(Optional.empty()));
    }

    @Test
    void tokenBucketAllowsItsBurstAndThenItsRate() {
        final RequestQueue queue = queues.queueOf("one", "ask");
        int acquired = 0;
        while (queue.tryAcquireRateToken(2, 3, SECOND)) {
            acquired++;
        }
        assertThat(acquired, is(3));
        assertThat(queue.tryAcquireRateToken(2, 3, SECOND + SECOND / 2), is(true));
        assertThat(queue.tryAcquireRateToken(2, 3, SECOND + SECOND / 2), is(false));
    }

    @Test
    void removesAQueueAndItsTokenBucketAfterTenIdleMinutes() {
        final RequestQueue queue = queues.queueOf("one", "ask");
        queue.tryAcquireRateToken(1, 1, SECOND);
        queues.removeIdle(601 * SECOND);
        assertThat(queues.queueOf("one", "ask") == queue, is(true));
        queues.removeIdle(603 * SECOND);
        assertThat(queues.queueOf("one", "ask") == queue, is(false));
    }
}
