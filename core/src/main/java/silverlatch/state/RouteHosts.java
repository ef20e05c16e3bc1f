package silverlatch.state;

import java.util.Locale;

/** Compares the hosts of routes and requests: letter case doesn't count, nor does a port. */
public final class RouteHosts {
    private RouteHosts() {}

    /** The host in lower case and without its port; hosts that requests can't tell apart give the same. */
    public static String normalized(final String host) {
        final int colon = host.lastIndexOf(':');
        final boolean hasPort = colon > 0 && host.indexOf(']') < colon;
        return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }
}
