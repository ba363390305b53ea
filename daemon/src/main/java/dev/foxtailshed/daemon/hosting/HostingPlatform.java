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
 * An adapter that translates between a hosting platform's formats and Foxtailshed's own types.
 *
 * <p>Implementations are loaded through {@link java.util.ServiceLoader}. They must be stateless and
 * thread-safe, and must not make decisions about load, retries, health or time.
 */
public interface HostingPlatform {

    /**
     * Returns the name that selects this platform in the settings.
     *
     * @return a short lowercase name
     */
    String name();

    /**
     * Returns the path of the settings file that the platform provides for this process.
     *
     * @return the path, or empty if the process was not started by this platform
     */
    Optional<Path> settingsFile();

    /**
     * Creates a client of the platform's store.
     *
     * @param httpClient the HTTP client, which must be started before the first call
     * @param address supplies the store's address; read for each call, since the settings may
     *     change
     * @param timeoutMillis the timeout of a call in milliseconds, in addition to the wait time of a
     *     watch
     * @return the client of the store
     */
    SharedStore openStore(
            HttpClient httpClient, Supplier<InetSocketAddress> address, long timeoutMillis);

    /**
     * Returns the name of the entry that holds the routing configuration.
     *
     * @return the name; other entries of the same collection are not in force
     */
    String routesEntryName();

    /**
     * Parses the routing configuration.
     *
     * @param entry the stored entry
     * @return the route table, or a message that says why the entry is malformed
     */
    Either<String, RouteTable> parseRoutes(StoreEntry entry);

    /**
     * Parses the entry that a backend server wrote about itself.
     *
     * @param entry the stored entry
     * @return the server, or a message that says why the entry is malformed
     */
    Either<String, DirectServer> parseServer(StoreEntry entry);

    /**
     * Returns the protocol between callers and entries.
     *
     * @return the parser of callers' headers
     */
    CallerProtocol callerProtocol();

    /**
     * Returns the protocol between entries and backend servers.
     *
     * @return the builder of requests and parser of responses
     */
    ServerProtocol serverProtocol();
}
