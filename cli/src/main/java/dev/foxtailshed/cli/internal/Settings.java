package dev.foxtailshed.cli.internal;

import io.vavr.control.Either;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.FeatureControl;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The settings for calls to the operator API.
 *
 * @param entries the base URLs of the entries, tried in order
 * @param key the operator key
 * @param operator the name of the operator, for the audit trail
 * @param timeoutMillis the timeout of one call
 * @param trustStore the PKCS12 file with the certificates to trust, for entries with TLS; the JVM's
 *     default trust store if empty
 */
record Settings(
        List<String> entries,
        String key,
        String operator,
        long timeoutMillis,
        Optional<String> trustStore) {

    private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;

    /** Declares the common flags, which are accepted before and after the command words. */
    static void declare(ArgumentParser parser) {
        parser.addArgument("--entry")
                .action(Arguments.append())
                .setDefault(FeatureControl.SUPPRESS)
                .metavar("http://IP:PORT")
                .help("an entry; repeatable or separated by commas; or FOXTAILSHED_ENTRY");
        parser.addArgument("--key")
                .setDefault(FeatureControl.SUPPRESS)
                .help("the operator key; FOXTAILSHED_KEY is preferred");
        parser.addArgument("--operator")
                .setDefault(FeatureControl.SUPPRESS)
                .help("your name for the audit trail; or FOXTAILSHED_OPERATOR");
        parser.addArgument("--trust-store")
                .setDefault(FeatureControl.SUPPRESS)
                .help(
                        "PKCS12 file with the certificates to trust for https, without password;"
                                + " or FOXTAILSHED_TRUST_STORE; default: the JVM's trust store");
        parser.addArgument("--json")
                .action(Arguments.storeTrue())
                .setDefault(FeatureControl.SUPPRESS)
                .help("print results as JSON");
        parser.addArgument("--timeout-millis")
                .type(Long.class)
                .setDefault(FeatureControl.SUPPRESS)
                .help("timeout of one call, " + DEFAULT_TIMEOUT_MILLIS + " if not given");
    }

    /** Reads the settings from flags and environment variables; flags take precedence. */
    static Either<Failure, Settings> read(Namespace arguments, Map<String, String> environment) {
        Optional<List<String>> flagValues = Optional.ofNullable(arguments.getList("entry"));
        List<String> values =
                flagValues.orElseGet(
                        () -> List.of(environment.getOrDefault("FOXTAILSHED_ENTRY", "")));
        List<String> entries = new ArrayList<>();
        for (String entry : String.join(",", values).split(",")) {
            if (!entry.isBlank()) {
                entries.add(entry.strip().replaceFirst("/$", ""));
            }
        }
        Optional<String> key = valueOf(arguments, "key", environment, "FOXTAILSHED_KEY");
        Optional<String> operator =
                valueOf(arguments, "operator", environment, "FOXTAILSHED_OPERATOR");
        long timeoutMillis =
                Optional.ofNullable(arguments.getLong("timeout_millis"))
                        .orElse(DEFAULT_TIMEOUT_MILLIS);
        return findProblem(entries, key, operator, timeoutMillis)
                .<Either<Failure, Settings>>map(text -> Either.left(Failure.badUse(text)))
                .orElseGet(
                        () ->
                                Either.right(
                                        new Settings(
                                                List.copyOf(entries),
                                                key.orElseThrow(),
                                                operator.orElseThrow(),
                                                timeoutMillis,
                                                valueOf(
                                                        arguments,
                                                        "trust_store",
                                                        environment,
                                                        "FOXTAILSHED_TRUST_STORE"))));
    }

    @Override
    public String toString() {
        return "Settings" + entries;
    }

    private static Optional<String> valueOf(
            Namespace arguments, String flag, Map<String, String> environment, String variable) {
        return Optional.ofNullable(arguments.getString(flag))
                .or(() -> Optional.ofNullable(environment.get(variable)))
                .filter(text -> !text.isBlank());
    }

    private static Optional<String> findProblem(
            List<String> entries,
            Optional<String> key,
            Optional<String> operator,
            long timeoutMillis) {
        if (entries.isEmpty()) {
            return Optional.of("no entry: set --entry or FOXTAILSHED_ENTRY");
        }
        for (String entry : entries) {
            if (!isAddress(entry)) {
                return Optional.of("not an address of the form http://IP:PORT: " + entry);
            }
        }
        if (key.isEmpty()) {
            return Optional.of("no key: set FOXTAILSHED_KEY or --key");
        }
        if (operator.isEmpty()) {
            return Optional.of("no operator: set --operator or FOXTAILSHED_OPERATOR");
        }
        if (!isHeaderText(key.get()) || !isHeaderText(operator.get())) {
            return Optional.of("key and operator must consist of printable ASCII characters");
        }
        return timeoutMillis > 0
                ? Optional.empty()
                : Optional.of("--timeout-millis must be positive");
    }

    private static boolean isHeaderText(String text) {
        return text.chars().allMatch(c -> c >= ' ' && c <= '~');
    }

    private static boolean isAddress(String entry) {
        try {
            URI uri = new URI(entry);
            return ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))
                    && uri.getHost() != null
                    && uri.getPort() > 0
                    && uri.getRawPath().isEmpty()
                    && uri.getRawQuery() == null;
        } catch (URISyntaxException e) {
            return false;
        }
    }
}
