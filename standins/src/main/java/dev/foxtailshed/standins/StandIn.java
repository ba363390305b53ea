package dev.foxtailshed.standins;

import com.google.gson.JsonParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The main class, which runs one of the stand-ins as a process.
 *
 * <pre>{@code
 * java -jar foxtailshed-standins-0.1.0-all.jar platform --listen 127.0.0.1:0
 * }</pre>
 *
 * <p>It prints one line {@code ready ROLE IP:PORT} for each listen address; for engines the name of
 * the engine follows. The exit code is 0 on SIGTERM and after help, and 2 for invalid settings,
 * with one line on standard error.
 */
public final class StandIn {

    private static final int EXIT_BAD_SETTINGS = 2;

    private StandIn() {}

    /**
     * Starts the stand-in of the given command and blocks until the process is terminated.
     *
     * @param args the command line arguments
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        try {
            Namespace namespace = CommandLine.parse(args);
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(0), "exit"));
            start(namespace);
        } catch (HelpScreenException e) {
            System.exit(0);
        } catch (ArgumentParserException
                | IllegalArgumentException
                | JsonParseException
                | IOException e) {
            exitWithError(e);
        }
        new CountDownLatch(1).await();
    }

    private static void start(Namespace namespace) throws IOException {
        switch (namespace.getString(CommandLine.COMMAND)) {
            case CommandLine.PLATFORM -> {
                InetSocketAddress listen = CommandLine.listenAddress(namespace);
                PlatformStandIn platform = PlatformStandIn.builder().listen(listen).start();
                printReady("platform", platform.address(), "");
            }
            case CommandLine.SERVICE -> {
                InetSocketAddress listen = CommandLine.listenAddress(namespace);
                ServiceStandIn service = ServiceStandIn.builder().listen(listen).start();
                printReady("service", service.address(), "");
            }
            case CommandLine.ENGINE -> startEngine(CommandLine.engineConfig(namespace));
            case CommandLine.ENGINES -> startEngines(Path.of(namespace.getString("config")));
            case CommandLine.PROXY -> startProxy(namespace);
            default -> throw new IllegalArgumentException("unknown command");
        }
    }

    private static void startEngines(Path config) throws IOException {
        for (EngineConfig engine : EngineConfig.readAll(Files.readString(config))) {
            startEngine(engine);
        }
    }

    private static void startEngine(EngineConfig config) throws IOException {
        EngineSettings settings = config.settings();
        EngineStandIn engine =
                EngineStandIn.builder().listen(config.listenAddress()).settings(settings).start();
        printReady("engine", engine.address(), " " + settings.name);
    }

    private static void startProxy(Namespace namespace) throws IOException {
        ProxyStandIn proxy = CommandLine.proxyBuilder(namespace).start();
        proxy.addresses().forEach(address -> printReady("proxy", address, ""));
        printReady("control", proxy.controlAddress(), "");
    }

    private static void printReady(String role, InetSocketAddress address, String suffix) {
        System.out.println(
                "ready " + role + " " + address.getHostString() + ":" + address.getPort() + suffix);
    }

    private static void exitWithError(Exception e) {
        String message = String.valueOf(e.getMessage()).replaceAll("\\s+", " ");
        System.err.println("foxtailshed-standins: " + message);
        Runtime.getRuntime().halt(EXIT_BAD_SETTINGS);
    }
}
