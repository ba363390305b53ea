package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.role.Role;
import dev.foxtailshed.daemon.internal.role.RunningRole;
import dev.foxtailshed.daemon.internal.settings.Setting;
import dev.foxtailshed.daemon.internal.settings.Settings;
import java.io.IOException;
import java.util.List;

/** The entry role, which serves callers and operators. */
public final class EntryRole implements Role {

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public String summary() {
        return "accept calls and route them to backend servers";
    }

    @Override
    public List<Setting<?>> settings() {
        return EntrySettings.ALL;
    }

    @Override
    public RunningRole start(Settings settings) throws IOException {
        Entry entry = new Entry(settings);
        entry.start();
        return entry;
    }
}
