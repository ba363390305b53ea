package dev.foxtailshed.standins;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Parses the command line of {@link StandIn}. */
final class CommandLine {

    static final String COMMAND = "command";
    static final String PLATFORM = "platform";
    static final String SERVICE = "service";
    static final String ENGINE = "engine";
    static final String ENGINES = "engines";
    static final String PROXY = "proxy";

    private static final String LISTEN = "listen";
    private static final Pattern ADDRESS = Pattern.compile("([0-9.]+):([0-9]{1,5})");
    private static final int MAXIMUM_PORT = 65_535;
    private static final List<String> ENGINE_FLAGS =
            List.of(
                    "name",
                    "role",
                    "requestSlots",
                    "kvPieces",
                    "tokensPerPiece",
                    "kvBytesPerToken",
                    "prefillTokensPerSecond",
                    "prefillBatch",
                    "tokenMillis",
                    "linkBytesPerSecond",
                    "exportTtlMillis",
                    "prefixCachePieces",
                    "loadLagMillis",
                    "cacheEventLagMillis",
                    "cacheEventLossPercent",
                    "checksFencing",
                    "seed");

    private CommandLine() {}

    static Namespace parse(String[] args) throws ArgumentParserException {
        ArgumentParser parser =
                ArgumentParsers.newFor("foxtailshed-standins")
                        .build()
                        .defaultHelp(true)
                        .description(
                                "Stand-ins for the external systems that foxtailshed works with.");
        Subparsers commands = parser.addSubparsers().dest(COMMAND);
        addListen(commands.addParser(PLATFORM).help("the platform's object API"));
        addListen(commands.addParser(SERVICE).help("a plain service"));
        Subparser engine = commands.addParser(ENGINE).help("a model engine");
        addListen(engine);
        for (String name : ENGINE_FLAGS) {
            engine.addArgument(flagName(name)).dest(name).setDefault(Arguments.SUPPRESS);
        }
        commands.addParser(ENGINES)
                .help("several model engines in one process")
                .addArgument("--config")
                .required(true)
                .help("file with a JSON array of engine settings");
        addProxy(commands.addParser(PROXY).help("a fault-injecting TCP proxy"));
        return parser.parseArgs(args);
    }

    static InetSocketAddress listenAddress(Namespace namespace) {
        return parseAddress(namespace.getString(LISTEN));
    }

    static EngineConfig engineConfig(Namespace namespace) {
        JsonObject json = new JsonObject();
        Gson gson = new Gson();
        namespace.getAttrs().forEach((name, value) -> json.add(name, gson.toJsonTree(value)));
        json.remove(COMMAND);
        return EngineConfig.read(json);
    }

    static ProxyStandIn.Builder proxyBuilder(Namespace namespace) {
        ProxyStandIn.Builder proxy = ProxyStandIn.builder();
        proxy.control(parseAddress(namespace.getString("control")));
        String listen = namespace.getString(LISTEN);
        String target = namespace.getString("target");
        if ((listen == null) != (target == null)) {
            throw new IllegalArgumentException("--listen and --target must be given together");
        }
        if (listen != null) {
            proxy.pair(parseAddress(listen), parseAddress(target));
        }
        List<Object> pairs = namespace.getList("pair");
        for (Object pair : pairs == null ? List.of() : pairs) {
            String[] addresses = pair.toString().split("=", 2);
            if (addresses.length != 2) {
                throw new IllegalArgumentException(
                        "expected LISTEN=TARGET, found \"" + pair + "\"");
            }
            proxy.pair(parseAddress(addresses[0]), parseAddress(addresses[1]));
        }
        return proxy;
    }

    /** Parses an address of the form {@code IP:PORT}. */
    static InetSocketAddress parseAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAXIMUM_PORT) {
            throw new IllegalArgumentException("expected IP:PORT, found \"" + text + "\"");
        }
        return new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
    }

    private static void addListen(Subparser parser) {
        parser.addArgument("--listen").required(true).help("the address to listen on, IP:PORT");
    }

    private static void addProxy(Subparser parser) {
        parser.addArgument("--listen").help("the listen address of the first pair, IP:PORT");
        parser.addArgument("--target").help("the target address of the first pair, IP:PORT");
        parser.addArgument("--pair")
                .action(Arguments.append())
                .help("a pair LISTEN=TARGET of IP:PORT addresses, repeatable");
        parser.addArgument("--control")
                .required(true)
                .help("the listen address of the control API, IP:PORT");
    }

    private static String flagName(String name) {
        return "--" + name.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
    }
}
