package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.http.TlsSettings;
import dev.foxtailshed.daemon.internal.settings.Setting;
import dev.foxtailshed.daemon.internal.settings.SettingParsers;
import dev.foxtailshed.wire.SharedKey;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;

/** The settings of the entry role. */
public final class EntrySettings {

    /** The name of the instance. */
    public static final Setting<String> INSTANCE =
            Setting.required("--instance", "name of this instance", SettingParsers::name);

    /** The availability zone of the instance. */
    public static final Setting<String> ZONE =
            Setting.required("--zone", "availability zone of this instance", SettingParsers::name);

    /** The address on which callers and operators are served. */
    public static final Setting<InetSocketAddress> LISTEN =
            Setting.withDefault(
                    "--listen",
                    "IP:PORT for callers and operators; port 0 lets the system choose",
                    "127.0.0.1:8080",
                    SettingParsers::address);

    /** The URL of the platform. */
    public static final Setting<URI> PLATFORM =
            Setting.required("--platform", "URL of the platform", SettingParsers::httpUrl);

    /** The key shared by the processes and the operators. */
    public static final Setting<SharedKey> KEY =
            Setting.required(
                    "--key",
                    "key shared by the processes and the operators, at least 16 characters",
                    SharedKey::new);

    /** How long a shutdown waits for requests in flight. */
    public static final Setting<Long> DRAIN_MILLIS =
            Setting.withDefault(
                    "--drain-millis",
                    "how long a shutdown waits for requests in flight",
                    "600000",
                    SettingParsers.wholeNumber(0, 86_400_000));

    /** How long the readiness check fails before new requests are refused. */
    public static final Setting<Long> DRAIN_NOTICE_MILLIS =
            Setting.withDefault(
                    "--drain-notice-millis",
                    "how long the balancer sees \"not ready\" before new requests are refused",
                    "2000",
                    SettingParsers.wholeNumber(0, 600_000));

    /** The interval between two reads of the platform's instance list. */
    public static final Setting<Long> LIST_PERIOD_MILLIS =
            Setting.withDefault(
                    "--list-period-millis",
                    "time between two reads of the platform's list of instances",
                    "1000",
                    SettingParsers.wholeNumber(50, 60_000));

    /** The interval between two heartbeats to a sidecar. */
    public static final Setting<Long> HEARTBEAT_MILLIS =
            Setting.withDefault(
                    "--heartbeat-millis",
                    "time between two heartbeats to a sidecar",
                    "500",
                    SettingParsers.wholeNumber(10, 60_000));

    /** The time without a message after which a connection counts as lost. */
    public static final Setting<Long> LEASE_MILLIS =
            Setting.withDefault(
                    "--lease-millis",
                    "time without messages until a connection to a sidecar counts as lost",
                    "2000",
                    SettingParsers.wholeNumber(50, 600_000));

    /** The maximum size of a request body, in bytes. */
    public static final Setting<Long> MAXIMUM_BODY_BYTES =
            Setting.withDefault(
                    "--maximum-body-bytes",
                    "maximum size of a request body, in bytes",
                    "4194304",
                    SettingParsers.wholeNumber(1_024, 6_291_456));

    /** The sidecars to query while the platform does not respond. */
    public static final Setting<List<InetSocketAddress>> SEEDS =
            Setting.withDefault(
                    "--seeds",
                    "comma-separated IP:PORT of sidecars to query for the manifest and the list of"
                            + " instances when the platform does not respond at start-up",
                    "",
                    SettingParsers::addresses);

    /** How long an idempotency key is kept. */
    public static final Setting<Long> CLAIM_RETENTION_MILLIS =
            Setting.withDefault(
                    "--claim-retention-millis",
                    "how long an idempotency key is kept after the timeout of its call",
                    "86400000",
                    SettingParsers.wholeNumber(600_000, 604_800_000));

    /** The maximum rate at which claims are written. */
    public static final Setting<Long> CLAIM_WRITES_PER_SECOND =
            Setting.withDefault(
                    "--claim-writes-per-second",
                    "maximum updates of idempotency keys that this instance sends in a second",
                    "50",
                    SettingParsers.wholeNumber(1, 1_000));

    /** The minimum time between two batches of the record. */
    public static final Setting<Long> RECORD_PERIOD_MILLIS =
            Setting.withDefault(
                    "--record-period-millis",
                    "minimum time between two batches of the record of requests",
                    "5000",
                    SettingParsers.wholeNumber(50, 600_000));

    /** All settings of the role. */
    public static final List<Setting<?>> ALL =
            List.of(
                    INSTANCE,
                    ZONE,
                    LISTEN,
                    PLATFORM,
                    KEY,
                    DRAIN_MILLIS,
                    DRAIN_NOTICE_MILLIS,
                    LIST_PERIOD_MILLIS,
                    HEARTBEAT_MILLIS,
                    LEASE_MILLIS,
                    MAXIMUM_BODY_BYTES,
                    CLAIM_RETENTION_MILLIS,
                    CLAIM_WRITES_PER_SECOND,
                    SEEDS,
                    RECORD_PERIOD_MILLIS,
                    TlsSettings.KEY_STORE,
                    TlsSettings.KEY_STORE_PASSWORD);

    private EntrySettings() {}
}
