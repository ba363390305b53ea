package dev.foxtailshed.daemon.internal.sidecarrole;

import dev.foxtailshed.daemon.internal.role.Role;
import dev.foxtailshed.daemon.internal.role.RunningRole;
import dev.foxtailshed.daemon.internal.settings.Setting;
import dev.foxtailshed.daemon.internal.settings.Settings;
import java.io.IOException;
import java.util.List;

/** The role of a process that runs beside one backend server and admits all work to it. */
public final class SidecarRole implements Role {

    @Override
    public String name() {
        return "sidecar";
    }

    @Override
    public String summary() {
        return "run beside one backend server and admit its work";
    }

    @Override
    public List<Setting<?>> settings() {
        return SidecarRoleSettings.ALL;
    }

    @Override
    public RunningRole start(Settings settings) throws IOException {
        RunningSidecar sidecar = new RunningSidecar(settings);
        sidecar.start();
        return sidecar;
    }
}
