import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listener on a loopback port with a thread for each connection. */
final class Listener implements AutoCloseable {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** Handles the requests of one connection; the connection closes if it returns false. */
    interface Handler {
        boolean handle(Http.Message request, InputStream in, OutputStream out, Socket socket)
                throws IOException, InterruptedException;
    }

    Listener(Handler handler) throws IOException {
        this(0, handler);
    }

    /** Listens on a port, 0 for a free one. */
    Listener(int port, Handler handler) throws IOException {
        this.handler = handler;
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        start(this::accept, "accept");
    }

    int port() {
        return listener.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    static Thread start(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                start(() -> serve(socket), "connection");
            } catch (IOException e) {
                // The listener is closed at the end of the case.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            open.add(socket);
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean open = true;
            while (open) {
                Http.Message request = Http.readRequest(in);
                open = request != null && handler.handle(request, in, out, socket);
            }
        } catch (SocketException e) {
            // The caller has closed the connection.
            return;
        } catch (IOException | InterruptedException e) {
            return;
        } finally {
            open.remove(socket);
        }
    }

    /** Closes the port and all channels, as the end of a process does. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
