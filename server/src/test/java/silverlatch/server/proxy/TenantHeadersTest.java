package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static silverlatch.server.proxy.HttpText.EVENT_STREAM_HEADERS;
import static silverlatch.server.proxy.HttpText.event;
import static silverlatch.server.proxy.HttpText.failure;
import static silverlatch.server.proxy.HttpText.header;
import static silverlatch.server.proxy.HttpText.successHead;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.util.Digests;

/**
 * Guards against tenants' keys that reach a worker, forged tenant names, and requests that are served without a required key.
 * Checks the credential and tenant headers that workers receive, depending on the key that the client sent.
 */
final class TenantHeadersTest extends ProxyFixture {
    private static final String KEY = "Authorization: Token key-1\r\n";
    private static final String FORGED = "Silverlatch-Tenant: forged\r\n";
    private static final int PRIORITY = 7;
    private final List<Entry> access = new ArrayList<>();
    private long revision = 100;

    @Override
    List<Entry> accessEntries() {
        return access;
    }

    @Override
    long confirmedAt() {
        return EventLoop.nowMicros();
    }

    @BeforeEach
    void requireKeys() {
        access.add(new Entry("p/access", 1, List.of(new Value.AccessControl(true))));
        access.add(new Entry("v/a|/plain/", 1, List.of(new Value.PublicRoute("A", "/plain/"))));
        access.add(tenant("acme", "key-1"));
        access.add(tenant("other", "key-2"));
    }

    private static Entry tenant(final String name, final String key) {
        final Value.TenantAccess tenant =
                new Value.TenantAccess(name, List.of(Digests.sha256Hex(key)), PRIORITY, List.of());
        return new Entry("n/" + name, 1, List.of(tenant));
    }

    /** Applies a newer configuration with these access entries. */
    private void changeAccess(final Entry... entries) {
        access.clear();
        access.addAll(List.of(entries));
        final ClusterSnapshot next = snapshot(++revision);
        routerLoop.execute(() -> router.update(next, EventLoop.nowMicros()));
    }

    private StubWorker startSuccessfulWorker() throws IOException {
        return startWorker(request -> successHead(request) + "Content-Length: 0\r\n\r\n");
    }

    /** Returns the values of a header, in order. */
    private static List<String> values(final String request, final String name) {
        return request.lines()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).strip())
                .toList();
    }

    private static void assertTenants(final String received, final List<String> names) {
        assertThat(values(received, "Authorization"), is(List.of()));
        assertThat(values(received, "Silverlatch-Tenant"), is(names));
        assertThat(received, not(containsString("key-")));
        assertThat(received, not(containsString("forged")));
    }

    /** Sends a request, checks that it succeeds, and returns the request that the worker received. */
    private String requestAtWorker(final StubWorker worker, final String path, final String headers)
            throws IOException {
        assertThat(headers, post(path, headers, "b"), startsWith("HTTP/1.1 200"));
        return worker.received.get(worker.received.size() - 1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                KEY,
                "authorization: tOKEN \t key-1 \r\n",
                KEY + KEY,
                KEY + "Connection: Authorization\r\n",
                KEY + "SILVERLATCH-TENANT: forged\r\nsilverlatch-tenant: other\r\n",
                KEY + "Connection: Silverlatch-Tenant\r\n"
            })
    void aWorkerGetsTheTenantOfTheKeyButNotTheKeyOrAForgedTenantName(final String headers) throws IOException {
        final String received = requestAtWorker(startSuccessfulWorker(), "/once/x", headers + FORGED);
        assertTenants(received, List.of("acme"));
        assertThat(header(received, "Silverlatch-Rank"), is("" + PRIORITY));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                FORGED,
                "Authorization:\r\n",
                "Authorization: Token\r\n",
                "Authorization: Token other\r\n",
                "Authorization: Token KEY-1\r\n",
                "Authorization: Tokenkey-1\r\n",
                "Authorization: Basic key-1\r\n",
                "Authorization: key-1\r\n",
                "Authorization: Token key-1, Token key-1\r\n",
                KEY + "Authorization: Token key-2\r\n",
                KEY + "Authorization: Basic abc\r\n"
            })
    void aRequestWithoutExactlyOneKnownKeyIsRejectedIfKeysAreRequired(final String credentials) throws IOException {
        final StubWorker worker = startSuccessfulWorker();
        final String response = post("/once/x", credentials, "b");
        assertThat(response, startsWith("HTTP/1.1 401"));
        assertThat(header(response, "WWW-Authenticate"), is("Token"));
        assertThat(response, not(containsString("key-1")));
        assertThat(worker.received, is(List.of()));
    }

    @Test
    void aRequestWithoutARouteGetsNotFoundWithOrWithoutAKey() throws IOException {
        startSuccessfulWorker();
        assertThat(post("/none/x", "", "b"), startsWith("HTTP/1.1 404"));
        assertThat(post("/none/x", KEY, "b"), startsWith("HTTP/1.1 404"));
    }

    /** Fails the first attempt with the reply, and checks that both attempts name the tenant. */
    private void assertBothAttemptsNameTheTenant(final Function<String, String> firstReply) throws IOException {
        final List<String> received = new CopyOnWriteArrayList<>();
        final Function<String, String> script = request -> {
            received.add(request);
            return received.size() == 1
                    ? firstReply.apply(request)
                    : successHead(request) + EVENT_STREAM_HEADERS + "\r\n" + event(2) + "0\r\n\r\n";
        };
        startWorker(script);
        startWorker(script);
        assertThat(post("/again/x", KEY + FORGED, "b"), containsString("piece 2"));
        assertThat(received.size(), is(2));
        received.forEach(request -> assertTenants(request, List.of("acme")));
    }

    @Test
    void aRetryNamesTheTenantToo() throws IOException {
        assertBothAttemptsNameTheTenant(request -> failure(request, "503 Full", "Silverlatch-Not-Run: 1\r\n"));
    }

    @Test
    void aResumedStreamNamesTheTenantToo() throws IOException {
        assertBothAttemptsNameTheTenant(
                request -> successHead(request) + EVENT_STREAM_HEADERS + "\r\n" + event(1) + "|");
    }

    @Test
    void aPublicRouteNeedsNoKeyButAKnownKeyStillNamesItsTenant() throws IOException {
        final StubWorker worker = startSuccessfulWorker();
        assertTenants(requestAtWorker(worker, "/plain/x", FORGED), List.of());
        assertTenants(requestAtWorker(worker, "/plain/x", KEY + FORGED), List.of("acme"));
        assertThat(post("/plain/x", "Authorization: Token key-9\r\n", "b"), startsWith("HTTP/1.1 401"));
        assertTenants(requestAtWorker(worker, "/plain/x", KEY + "Authorization: Token key-2\r\n"), List.of());
        assertTenants(requestAtWorker(worker, "/plain/x", "Authorization: Basic abc, Token key-1\r\n"), List.of());
        final String other = requestAtWorker(worker, "/plain/x", FORGED + "Authorization: Basic abc\r\n");
        assertThat(values(other, "Authorization"), is(List.of("Basic abc")));
        assertThat(values(other, "Silverlatch-Tenant"), is(List.of()));
    }

    @Test
    void aConfigurationWithoutTenantsNeedsNoKeysAndForwardsNone() throws IOException {
        final StubWorker worker = startSuccessfulWorker();
        assertTenants(requestAtWorker(worker, "/once/x", KEY), List.of("acme"));
        changeAccess();
        assertTenants(requestAtWorker(worker, "/once/x", KEY + FORGED), List.of());
        assertTenants(requestAtWorker(worker, "/once/x", ""), List.of());
        final String other = requestAtWorker(worker, "/once/x", "Authorization: Bearer abc\r\n");
        assertThat(values(other, "Authorization"), is(List.of("Bearer abc")));
        changeAccess(new Entry("p/access", 1, List.of(new Value.AccessControl(true))), tenant("acme", "key-1"));
        assertTenants(requestAtWorker(worker, "/once/x", KEY), List.of("acme"));
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 401"));
    }

    @Test
    void aKeyMovedToAnotherTenantNamesThatTenant() throws IOException {
        final StubWorker worker = startSuccessfulWorker();
        assertTenants(requestAtWorker(worker, "/once/x", KEY), List.of("acme"));
        changeAccess(
                new Entry("p/access", 1, List.of(new Value.AccessControl(true))),
                tenant("acme", "key-2"),
                tenant("other", "key-1"));
        assertTenants(requestAtWorker(worker, "/once/x", KEY), List.of("other"));
    }
}
