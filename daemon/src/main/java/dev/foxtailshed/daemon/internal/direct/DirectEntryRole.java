package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.HostingPlatform;
import dev.foxtailshed.daemon.internal.role.Role;
import dev.foxtailshed.daemon.internal.role.RunningRole;
import dev.foxtailshed.daemon.internal.settings.Setting;
import dev.foxtailshed.daemon.internal.settings.SettingException;
import dev.foxtailshed.daemon.internal.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;

/** The role of an entry that forwards directly to backend servers on a hosting platform. */
public final class DirectEntryRole implements Role {

    static final Setting<Path> SETTINGS_FILE =
            Setting.optional(
                    "--settings-file",
                    "file with the settings of this role; without it, the hosting platform's",
                    Path::of);

    @Override
    public String name() {
        return "direct-entry";
    }

    @Override
    public String summary() {
        return "accept calls on a hosting platform and forward them directly to backend servers";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(SETTINGS_FILE);
    }

    @Override
    public RunningRole start(Settings settings) throws IOException {
        List<HostingPlatform> platforms = new ArrayList<>();
        ServiceLoader.load(HostingPlatform.class).forEach(platforms::add);
        Path file =
                settings.find(SETTINGS_FILE)
                        .or(() -> findSettingsFile(platforms))
                        .orElseThrow(
                                () ->
                                        new SettingException(
                                                SETTINGS_FILE,
                                                "is missing, and no hosting platform names one"));
        try {
            DirectSettings directSettings = DirectSettings.read(file);
            HostingPlatform platform = findPlatform(platforms, directSettings.platform());
            DirectEntry entry = new DirectEntry(directSettings, platform, file);
            entry.start();
            return entry;
        } catch (IllegalArgumentException e) {
            throw new SettingException(SETTINGS_FILE, e.getMessage());
        }
    }

    private static Optional<Path> findSettingsFile(List<HostingPlatform> platforms) {
        return platforms.stream()
                .map(HostingPlatform::settingsFile)
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static HostingPlatform findPlatform(List<HostingPlatform> platforms, String name) {
        return platforms.stream()
                .filter(platform -> platform.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "platform: expected one of "
                                                + platforms.stream()
                                                        .map(HostingPlatform::name)
                                                        .toList()
                                                + ", found \""
                                                + name
                                                + '"'));
    }

    @Override
    public boolean reloadsSettings() {
        return true;
    }
}
