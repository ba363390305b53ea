package dev.foxtailshed.daemon.internal.direct;

import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import dev.foxtailshed.daemon.hosting.JsonFields;
import dev.foxtailshed.daemon.internal.settings.SettingParsers;
import dev.foxtailshed.kernel.direct.quota.QuotaBounds;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings file of a direct entry.
 *
 * <p>Unknown fields are ignored. A missing or invalid field is rejected with an error that has its
 * path.
 *
 * @param platform the name of the hosting platform
 * @param instance the name of this instance, unique in the deployment
 * @param zone the availability zone of this instance
 * @param callerAddress the address that callers connect to
 * @param readinessAddress the address of the readiness check of the load balancer
 * @param controlAddress the address that serves metrics and peers
 * @param storeAddress the address of the platform's store
 * @param peers the control addresses of other entries, some of which may no longer exist
 * @param retryRatio the retries allowed for each request to a service, over all entries
 * @param retryReserve the retries to a service allowed in addition to the ratio, over all entries
 * @param retryWindowMillis the sliding window over which requests and retries are counted
 * @param leaseMillis the lease time of the lease for stage changes
 * @param quotaBounds how far the quotas of workspaces may be exceeded
 * @param graceMillis the time between SIGTERM and SIGKILL
 */
record DirectSettings(
        String platform,
        String instance,
        String zone,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress controlAddress,
        InetSocketAddress storeAddress,
        List<InetSocketAddress> peers,
        double retryRatio,
        double retryReserve,
        long retryWindowMillis,
        long leaseMillis,
        QuotaBounds quotaBounds,
        long graceMillis) {

    private static final double MILLIS_PER_SECOND = 1_000;

    /** A tenth above the limit, over ten seconds. */
    private static final QuotaBounds DEFAULT_QUOTA_BOUNDS = new QuotaBounds(10_000, 0.1, 0);

    /**
     * Reads and parses a settings file.
     *
     * @param file the path of the file
     * @return the settings
     * @throws IllegalArgumentException if the file cannot be read or is invalid; the message has
     *     the path of the invalid field
     */
    static DirectSettings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "settings file " + file + " cannot be read: " + e, e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings file " + file + ": " + e.getMessage(), e);
        }
    }

    static DirectSettings parse(String text) {
        JsonFields root;
        try {
            root = JsonFields.of("", JsonParser.parseString(text));
        } catch (JsonParseException e) {
            throw new IllegalArgumentException("expected JSON: " + e.getMessage(), e);
        }
        JsonFields listen = root.getObject("listen");
        JsonFields retryBudget = root.getObject("repeatBudget");
        return new DirectSettings(
                root.getString("platform"),
                root.getString("instance"),
                root.getString("zone"),
                address(listen, "callers"),
                address(listen, "readiness"),
                address(listen, "control"),
                address(root, "store"),
                root.getStrings("peers").stream().map(SettingParsers::address).toList(),
                retryBudget.getDouble("ratio", 0),
                retryBudget.getDouble("reserve", 0),
                millis(retryBudget, "windowSeconds"),
                root.getLong("leaseMillis", 1),
                root.getOptionalObject("quota")
                        .map(DirectSettings::parseQuotaBounds)
                        .orElse(DEFAULT_QUOTA_BOUNDS),
                millis(root, "graceSeconds"));
    }

    private static QuotaBounds parseQuotaBounds(JsonFields fields) {
        return new QuotaBounds(
                millis(fields, "windowSeconds"),
                fields.getDouble("overage", 0),
                fields.getDouble("slack", 0));
    }

    private static long millis(JsonFields fields, String name) {
        return (long) (fields.getDouble(name, 0) * MILLIS_PER_SECOND);
    }

    private static InetSocketAddress address(JsonFields fields, String name) {
        try {
            return SettingParsers.address(fields.getString(name));
        } catch (IllegalArgumentException e) {
            throw fields.invalidField(name, "IP:PORT");
        }
    }
}
