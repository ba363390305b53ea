package dev.foxtailshed.daemon.internal.sidecarrole;

import dev.foxtailshed.daemon.internal.settings.Setting;
import dev.foxtailshed.daemon.internal.settings.SettingParsers;
import dev.foxtailshed.wire.SharedKey;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;

/** The settings of the sidecar role. */
public final class SidecarRoleSettings {

    /** The value of {@link #BACKEND_KIND} for model engines. */
    public static final String ENGINE = "engine";

    /** The value of {@link #BACKEND_KIND} for plain HTTP services. */
    public static final String PLAIN = "plain";

    /** The name of the backend server that the sidecar serves. */
    public static final Setting<String> SERVER =
            Setting.required(
                    "--server", "name of the backend server in the manifest", SettingParsers::name);

    /** The availability zone of this instance. */
    public static final Setting<String> ZONE =
            Setting.required("--zone", "availability zone of this instance", SettingParsers::name);

    /** The address on which entries connect. */
    public static final Setting<InetSocketAddress> LISTEN =
            Setting.withDefault(
                    "--listen",
                    "IP:PORT for the entries; port 0 lets the system choose",
                    "127.0.0.1:7400",
                    SettingParsers::address);

    /** The address of the health and metrics endpoints. */
    public static final Setting<InetSocketAddress> HTTP_LISTEN =
            Setting.optional(
                    "--http-listen",
                    "IP:PORT for health and metrics; none are served without it",
                    SettingParsers::address);

    /** The URL of the platform. */
    public static final Setting<URI> PLATFORM =
            Setting.required("--platform", "URL of the platform", SettingParsers::httpUrl);

    /** The URL of the backend server. */
    public static final Setting<URI> BACKEND =
            Setting.required("--backend", "URL of the backend server", SettingParsers::httpUrl);

    /** The kind of the backend server, {@link #ENGINE} or {@link #PLAIN}. */
    public static final Setting<String> BACKEND_KIND =
            Setting.required(
                    "--backend-kind",
                    "what the backend server is: engine or plain",
                    SettingParsers.oneOf(ENGINE, PLAIN));

    /** The key shared by the processes and the operators. */
    public static final Setting<SharedKey> KEY =
            Setting.required(
                    "--key",
                    "key shared by the processes and the operators, at least 16 characters",
                    SharedKey::new);

    /** The longest time that a shutdown waits for work in flight. */
    public static final Setting<Long> DRAIN_MILLIS =
            Setting.withDefault(
                    "--drain-millis",
                    "how long a shutdown waits for work in flight",
                    "600000",
                    SettingParsers.wholeNumber(0, 86_400_000));

    /** The period of heartbeats to an entry. */
    public static final Setting<Long> HEARTBEAT_MILLIS =
            Setting.withDefault(
                    "--heartbeat-millis",
                    "time between two heartbeats to an entry",
                    "500",
                    SettingParsers.wholeNumber(10, 60_000));

    /** The time without a message after which an entry is considered disconnected. */
    public static final Setting<Long> LEASE_MILLIS =
            Setting.withDefault(
                    "--lease-millis",
                    "time without messages until an entry is disconnected and its work cancelled",
                    "2000",
                    SettingParsers.wholeNumber(50, 600_000));

    /** The time that a grant remains valid beyond the time at which it is needed. */
    public static final Setting<Long> GRANT_MILLIS =
            Setting.withDefault(
                    "--grant-millis",
                    "how long a grant remains valid beyond the time at which it is needed",
                    "1000",
                    SettingParsers.wholeNumber(10, 60_000));

    /** The minimum time between two batches of the record. */
    public static final Setting<Long> RECORD_PERIOD_MILLIS =
            Setting.withDefault(
                    "--record-period-millis",
                    "minimum time between two batches of the record of runs",
                    "30000",
                    SettingParsers.wholeNumber(50, 600_000));

    /** All settings of the role. */
    public static final List<Setting<?>> ALL =
            List.of(
                    SERVER,
                    ZONE,
                    LISTEN,
                    HTTP_LISTEN,
                    PLATFORM,
                    BACKEND,
                    BACKEND_KIND,
                    KEY,
                    DRAIN_MILLIS,
                    HEARTBEAT_MILLIS,
                    LEASE_MILLIS,
                    GRANT_MILLIS,
                    RECORD_PERIOD_MILLIS);

    private SidecarRoleSettings() {}
}
