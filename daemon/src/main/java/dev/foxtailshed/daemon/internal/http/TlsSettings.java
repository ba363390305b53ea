package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.daemon.internal.settings.Setting;
import dev.foxtailshed.daemon.internal.settings.Settings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Settings of TLS for the ports of callers and operators. */
public final class TlsSettings {

    /** The PKCS12 key store. */
    public static final Setting<Path> KEY_STORE =
            Setting.optional(
                    "--tls-key-store",
                    "PKCS12 file with certificate and private key; plain HTTP without it",
                    TlsSettings::readableFile);

    /** The password of the key store. */
    public static final Setting<String> KEY_STORE_PASSWORD =
            Setting.optional("--tls-key-store-password", "password of the key store", text -> text);

    /** All settings of TLS. */
    public static final List<Setting<?>> SETTINGS = List.of(KEY_STORE, KEY_STORE_PASSWORD);

    private TlsSettings() {}

    /**
     * Returns the TLS configuration of the settings.
     *
     * @param settings the settings of the process
     * @return the TLS configuration, or empty for plain HTTP
     */
    public static Optional<SslContextFactory.Server> read(Settings settings) {
        return settings.find(KEY_STORE)
                .map(
                        path -> {
                            SslContextFactory.Server factory = new SslContextFactory.Server();
                            factory.setKeyStorePath(path.toString());
                            factory.setKeyStoreType("PKCS12");
                            settings.find(KEY_STORE_PASSWORD)
                                    .ifPresent(factory::setKeyStorePassword);
                            return factory;
                        });
    }

    private static Path readableFile(String text) {
        Path path = Path.of(text);
        if (!Files.isReadable(path)) {
            throw new IllegalArgumentException("expected a readable file, found \"" + text + "\"");
        }
        return path;
    }
}
