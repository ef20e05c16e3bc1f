package silverlatch.simulation.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Ports of this machine that are bound, so that no other process takes them, until the processes of a fleet start. */
final class ReservedPorts {
    private static final String HOST = "127.0.0.1";
    private final List<ServerSocket> sockets = new ArrayList<>();

    /** Reserves a free port and returns its address. */
    String reserve() throws IOException {
        final ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(HOST, 0));
        sockets.add(socket);
        return HOST + ":" + socket.getLocalPort();
    }

    /** Releases all ports, so that the processes can listen at them. */
    void release() throws IOException {
        for (final ServerSocket socket : sockets) {
            socket.close();
        }
        sockets.clear();
    }
}
