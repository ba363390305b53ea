package dev.foxtailshed.daemon.hosting;

import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.RouteTable;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.client.HttpClient;

/**
 * Translates between a hosting platform's formats and this product's types.
 *
 * <p>Implementations register themselves through {@link java.util.ServiceLoader}. They are
 * stateless, thread-safe, and decide nothing about load, retries, health or time.
 */
public interface HostingPlatform {

    /**
     * Returns the name by which the settings choose the platform.
     *
     * @return a short name in lower case
     */
    String name();

    /**
     * Finds the settings file that the platform laid out for this process.
     *
     * @return its path, or nothing if the platform did not start the process
     */
    Optional<Path> settingsFile();

    /**
     * Opens a client of the platform's store.
     *
     * @param httpClient a started client
     * @param address the store's address, asked for at each call, since settings may change
     * @param timeoutMillis how long a call may take, besides the time that a watch waits
     * @return the client
     */
    SharedStore openStore(
            HttpClient httpClient, Supplier<InetSocketAddress> address, long timeoutMillis);

    /**
     * Reads the routing configuration.
     *
     * @param entry the stored entry
     * @return the table, or why it cannot be read
     */
    Either<String, RouteTable> readRoutes(StoreEntry entry);

    /**
     * Reads a backend server's description of itself.
     *
     * @param entry the stored entry
     * @return the server, or why the entry names no usable server
     */
    Either<String, DirectServer> readServer(StoreEntry entry);

    /**
     * Returns the reader of callers' requests.
     *
     * @return the protocol between callers and entries
     */
    CallerProtocol callers();

    /**
     * Returns the writer of requests to backend servers.
     *
     * @return the protocol between entries and backend servers
     */
    ServerProtocol servers();
}
