package silverlatch.state;

import java.util.Locale;

/** Normalizes the hosts of routes and requests for comparison: letter case and port are ignored. */
public final class RouteHosts {
    private RouteHosts() {}

    /** Returns the host in lower case and without its port. Hosts that match the same requests give the same result. */
    public static String normalized(final String host) {
        final int colon = host.lastIndexOf(':');
        final boolean hasPort = colon > 0 && host.indexOf(']') < colon;
        return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }
}
