package dev.foxtailshed.harness;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.standins.PlatformStandIn;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/**
 * An installation of the product on loopback: a platform, backend servers, their sidecars behind
 * fault-injecting proxies, and entries. Backend servers, sidecars and entries run as processes; the
 * platform stand-in and the proxies run in this JVM.
 *
 * <p>Example: <code>try (Installation site = Installation.builder().entries(2).start()) { ... }
 * </code>. Not thread-safe, but the processes may be used from several threads.
 */
public final class Installation implements AutoCloseable {

    /** The key that all processes and operators of an installation share. */
    public static final String KEY = "installation-test-key";

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final long READY_MILLIS = 30_000;
    private static final int HTTP_OK = 200;

    private final InstallationBuilder options;
    private final ManifestView manifest;
    private final PlatformStandIn platform;
    private final HttpCaller http = new HttpCaller();
    private final Map<String, JavaProcess> backends = new LinkedHashMap<>();
    private final Map<String, JavaProcess> sidecars = new LinkedHashMap<>();
    private final SidecarProxies proxies = new SidecarProxies();
    private final List<JavaProcess> entries = new ArrayList<>();
    private final List<JavaProcess> started = new CopyOnWriteArrayList<>();

    Installation(InstallationBuilder options) throws IOException {
        this.options = options;
        this.manifest = new ManifestView(options.manifest);
        this.platform = PlatformStandIn.builder().listen(ANY_PORT).start();
    }

    /** Returns a builder with the small manifest of this package and one entry. */
    public static InstallationBuilder builder() {
        return new InstallationBuilder();
    }

    /**
     * Returns the process of an entry.
     *
     * @param index the number of the entry, from zero
     */
    public JavaProcess entry(int index) {
        return entries.get(index);
    }

    /**
     * Returns the process of the sidecar of a backend server.
     *
     * @param server the name of the backend server
     */
    public JavaProcess sidecar(String server) {
        return sidecars.get(server);
    }

    /**
     * Returns the process of a backend server.
     *
     * @param server the name of the backend server
     */
    public JavaProcess backend(String server) {
        return backends.get(server);
    }

    /** Returns the event logs of all processes that were started, including replaced ones. */
    public String eventLogs() {
        return started.stream()
                .map(process -> "--- " + process + "\n" + process.errorOutput())
                .collect(Collectors.joining("\n"));
    }

    /** Returns the HTTP client of this installation. */
    public HttpCaller http() {
        return http;
    }

    /** Returns the address of the platform stand-in. */
    public InetSocketAddress platform() {
        return platform.address();
    }

    /**
     * Sets the faults that the platform stand-in injects.
     *
     * @param faults a JSON object as in docs/OUTSIDE-SYSTEMS.md
     */
    public void setPlatformFaults(String faults) {
        expectSuccess("PUT", platform.address(), "/control/faults", faults);
    }

    /**
     * Sets the faults that the proxy between the entries and a sidecar injects.
     *
     * @param server the backend server of the sidecar
     * @param faults a JSON object such as {"mode":"freeze","direction":"to-target"}
     */
    public void setProxyFaults(String server, String faults) {
        expectSuccess("PUT", proxies.controlAddress(server), "/control/faults", faults);
    }

    /**
     * Resets the present connections between the entries and a sidecar.
     *
     * @param server the backend server of the sidecar
     */
    public void resetConnections(String server) {
        expectSuccess("POST", proxies.controlAddress(server), "/control/cut-now", "");
    }

    /**
     * Reads JSON from the control endpoint of a backend stand-in.
     *
     * @param path a path such as /control/counts or /control/runs
     */
    public JsonObject readBackendState(String server, String path) {
        return expectSuccess("GET", backends.get(server).address(), path, "").json();
    }

    /**
     * Returns the sum of a count over all running engines.
     *
     * @param count the name of the count, such as heldPieces
     */
    public long sumOverEngines(String count) {
        long sum = 0;
        for (String server : manifest.servers()) {
            if (!manifest.isPlain(server) && backends.get(server).isAlive()) {
                sum += readBackendState(server, "/control/counts").get(count).getAsLong();
            }
        }
        return sum;
    }

    /**
     * Returns how often a call ran on all running services together.
     *
     * @param callId the value of the header X-Call-Id
     */
    public long countRuns(String callId) {
        long runs = 0;
        for (String server : backends.keySet()) {
            if (manifest.isPlain(server) && backends.get(server).isAlive()) {
                JsonObject counts =
                        readBackendState(server, "/control/runs").getAsJsonObject("runs");
                runs += counts.has(callId) ? counts.get(callId).getAsLong() : 0;
            }
        }
        return runs;
    }

    /**
     * Sends a request to an entry and waits for the complete response.
     *
     * @param entry the number of the entry
     * @param path path and query
     * @param body the body, empty for none
     * @throws IOException if the connection breaks or the response is incomplete
     */
    public HttpCaller.Response call(
            int entry, String method, String path, Map<String, String> headers, String body)
            throws IOException {
        return http.call(method, entries.get(entry).address(), path, headers, body);
    }

    /**
     * Requests a completion that is not streamed and waits for the complete response.
     *
     * @param entry the number of the entry
     * @throws IOException if the connection breaks or the response is incomplete
     */
    public HttpCaller.Response complete(int entry, Completion completion) throws IOException {
        return call(entry, "POST", "/v1/completions", Map.of(), completion.body(false));
    }

    /**
     * Requests a streamed completion and returns once the response headers have arrived.
     *
     * @param entry the number of the entry
     * @return the stream of the body; closing it closes the connection
     * @throws IOException if the connection breaks
     */
    public InputStream openCompletion(int entry, Completion completion) throws IOException {
        return http.open(
                        "POST",
                        entries.get(entry).address(),
                        "/v1/completions",
                        Map.of(),
                        completion.body(true))
                .body();
    }

    /**
     * Submits a manifest through an entry.
     *
     * @param entry the number of the entry
     * @param query a query such as expectVersion=1, empty for none
     * @param document the manifest as JSON
     * @throws IOException if the connection breaks
     */
    public HttpCaller.Response submit(int entry, String query, String document) throws IOException {
        String path = "/operator/v1/manifest" + (query.isEmpty() ? "" : "?" + query);
        return http.call("POST", entries.get(entry).address(), path, operatorHeaders(), document);
    }

    /**
     * Sends a GET request to the operator endpoint of an entry.
     *
     * @param entry the number of the entry
     * @param path the path below /operator/v1/
     * @throws IOException if the connection breaks
     */
    public HttpCaller.Response getAsOperator(int entry, String path) throws IOException {
        return http.call(
                "GET", entries.get(entry).address(), "/operator/v1/" + path, operatorHeaders(), "");
    }

    /**
     * Reads a binary body from the operator endpoint of an entry.
     *
     * @param entry the number of the entry
     * @param path the path below /operator/v1/
     * @throws IOException if the connection breaks or the status is not 200
     */
    public byte[] readBytesAsOperator(int entry, String path) throws IOException {
        return http.readBytes(
                entries.get(entry).address(), "/operator/v1/" + path, operatorHeaders());
    }

    /** Returns the manifest that the installation was started with, as JSON. */
    public String manifest() {
        return options.manifest;
    }

    /**
     * Starts a new sidecar process in place of the old one, which is not stopped, and registers its
     * address in the instance list of the platform.
     *
     * @param server the backend server of the sidecar
     */
    public void restartSidecar(String server) {
        sidecars.put(server, startSidecar(server));
        registerSidecar(server, "live");
    }

    /**
     * Starts a new backend server process after the old one was killed. Its sidecar must be
     * restarted too, because the address changes.
     *
     * @param server the name of the backend server
     */
    public void restartBackend(String server) {
        backends.put(server, startBackend(server));
    }

    /**
     * Starts another entry and registers it in the instance list of the platform.
     *
     * @param arguments command line arguments to add for this entry
     * @return the number of the entry
     */
    public int addEntry(String... arguments) {
        int index = entries.size();
        JavaProcess entry = startEntry(index, List.of(arguments));
        entry.awaitReady();
        entries.add(entry);
        registerEntry(index);
        return index;
    }

    /**
     * Sets the state of a sidecar in the instance list of the platform.
     *
     * @param server the backend server of the sidecar
     * @param state live or leaving
     */
    public void registerSidecar(String server, String state) {
        register(server, "sidecar", manifest.zoneOf(server), addressForEntries(server), state);
    }

    /**
     * Waits until an entry has applied a manifest and reports every backend server as live.
     *
     * @param entry the number of the entry
     */
    public void awaitServing(int entry) {
        Waiting.await(
                "all servers are live at entry " + entry,
                READY_MILLIS,
                () -> areAllServersLive(entry));
    }

    @Override
    public void close() {
        entries.forEach(JavaProcess::close);
        sidecars.values().forEach(JavaProcess::close);
        backends.values().forEach(JavaProcess::close);
        proxies.close();
        platform.close();
    }

    void startAll() throws IOException {
        List<String> servers = manifest.servers();
        servers.forEach(server -> backends.put(server, startBackend(server)));
        for (int i = 0; i < options.entries; i++) {
            entries.add(startEntry(i, List.of()));
        }
        servers.forEach(server -> sidecars.put(server, startSidecar(server)));
        servers.forEach(server -> registerSidecar(server, "live"));
        for (int i = 0; i < options.entries; i++) {
            registerEntry(i);
        }
        if (options.submitsManifest) {
            HttpCaller.Response response = submit(0, "", options.manifest);
            if (response.status() != HTTP_OK) {
                throw new IllegalStateException("the manifest was refused: " + response.body());
            }
            for (int i = 0; i < options.entries; i++) {
                awaitServing(i);
            }
        }
    }

    private JavaProcess startBackend(String server) {
        List<String> arguments = new ArrayList<>();
        if (manifest.isPlain(server)) {
            arguments.addAll(List.of("service", "--listen", "127.0.0.1:0"));
        } else {
            JsonObject pool = manifest.poolOf(server);
            arguments.addAll(List.of("engine", "--listen", "127.0.0.1:0", "--name", server));
            arguments.addAll(List.of("--role", pool.get("kind").getAsString()));
            arguments.addAll(List.of("--request-slots", pool.get("requestSlots").getAsString()));
            arguments.addAll(List.of("--kv-pieces", pool.get("kvPieces").getAsString()));
            arguments.addAll(
                    List.of("--kv-bytes-per-token", pool.get("kvBytesPerToken").getAsString()));
            arguments.addAll(
                    List.of(
                            "--checks-fencing",
                            manifest.serverOf(server).get("checksFencing").getAsString()));
            arguments.addAll(options.engineArguments);
        }
        return start(server, ProgramJar.STANDINS, Map.of(), arguments);
    }

    private JavaProcess startSidecar(String server) {
        InetSocketAddress backend = backends.get(server).awaitReady();
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "sidecar",
                                "--server",
                                server,
                                "--zone",
                                manifest.zoneOf(server),
                                "--listen",
                                "127.0.0.1:0",
                                "--platform",
                                url(platform.address()),
                                "--backend",
                                url(backend),
                                "--backend-kind",
                                manifest.isPlain(server) ? "plain" : "engine"));
        arguments.addAll(options.sidecarArguments);
        return start("sidecar-" + server, ProgramJar.DAEMON, keyEnvironment(), arguments);
    }

    private JavaProcess startEntry(int index, List<String> moreArguments) {
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "entry",
                                "--instance",
                                "entry-" + index,
                                "--zone",
                                manifest.firstZone(),
                                "--listen",
                                "127.0.0.1:0",
                                "--platform",
                                url(platform.address()),
                                "--list-period-millis",
                                "200",
                                "--drain-notice-millis",
                                "200"));
        arguments.addAll(options.entryArguments);
        arguments.addAll(moreArguments);
        return start("entry-" + index, ProgramJar.DAEMON, keyEnvironment(), arguments);
    }

    private JavaProcess start(
            String name,
            ProgramJar program,
            Map<String, String> environment,
            List<String> arguments) {
        JavaProcess process =
                JavaProcess.start(name, program, options.jvmOptions, environment, arguments);
        started.add(process);
        return process;
    }

    private void registerEntry(int index) {
        register(
                "entry-" + index,
                "entry",
                manifest.firstZone(),
                entries.get(index).awaitReady(),
                "live");
    }

    private void register(
            String name, String role, String zone, InetSocketAddress address, String state) {
        JsonObject body = new JsonObject();
        body.addProperty("role", role);
        body.addProperty("zone", zone);
        body.addProperty("address", hostAndPort(address));
        body.addProperty("state", state);
        expectSuccess("PUT", platform.address(), "/control/instances/" + name, body.toString());
    }

    /** Returns the address that entries connect to: that of the proxy, if proxies are used. */
    private InetSocketAddress addressForEntries(String server) {
        InetSocketAddress real = sidecars.get(server).awaitReady();
        return options.usesProxies ? proxies.proxyAddressFor(server, real) : real;
    }

    private boolean areAllServersLive(int entry) {
        try {
            HttpCaller.Response response = getAsOperator(entry, "status");
            if (response.status() != HTTP_OK
                    || response.json().get("manifestVersion").getAsLong() == 0) {
                return false;
            }
            for (JsonElement server : response.json().getAsJsonArray("servers")) {
                JsonObject row = server.getAsJsonObject();
                boolean live = row.get("state").getAsString().equals("live");
                if (!live || row.get("manifestVersion").getAsLong() == 0) {
                    return false;
                }
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private HttpCaller.Response expectSuccess(
            String method, InetSocketAddress address, String path, String body) {
        try {
            HttpCaller.Response response = http.call(method, address, path, Map.of(), body);
            if (response.status() / 100 != 2) {
                throw new IllegalStateException(path + " returned " + response);
            }
            return response;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, String> keyEnvironment() {
        return Map.of("FOXTAILSHED_KEY", KEY);
    }

    private static Map<String, String> operatorHeaders() {
        return Map.of("Authorization", "Bearer " + KEY, "X-Operator", "harness");
    }

    private static String url(InetSocketAddress address) {
        return "http://" + hostAndPort(address);
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
