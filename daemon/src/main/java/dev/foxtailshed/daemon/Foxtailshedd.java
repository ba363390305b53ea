package dev.foxtailshed.daemon;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.daemon.internal.events.JsonConsoleWriter;
import dev.foxtailshed.daemon.internal.events.LogSettings;
import dev.foxtailshed.daemon.internal.role.Role;
import dev.foxtailshed.daemon.internal.role.RunningRole;
import dev.foxtailshed.daemon.internal.role.SignalHandlers;
import dev.foxtailshed.daemon.internal.settings.Setting;
import dev.foxtailshed.daemon.internal.settings.SettingException;
import dev.foxtailshed.daemon.internal.settings.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Starts the daemon in one of its roles.
 *
 * <p>Example: <code>foxtailshedd entry --instance e1 --zone a --listen 127.0.0.1:8080 ...</code>
 * prints <code>ready entry 127.0.0.1:8080</code> once it accepts requests. A missing or invalid
 * setting ends the process with status 2 and one line that names the setting; SIGTERM drains the
 * daemon and ends it with status 0.
 */
public final class Foxtailshedd {

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_BAD_SETTING = 2;
    private static final String ROLE = "role";

    private final List<Role> roles;

    private Foxtailshedd(List<Role> roles) {
        this.roles = roles;
    }

    /**
     * Starts the daemon, which runs until SIGTERM.
     *
     * @param args the role, followed by its flags
     */
    public static void main(String[] args) {
        List<Role> roles = new ArrayList<>();
        ServiceLoader.load(Role.class).forEach(roles::add);
        roles.sort(Comparator.comparing(Role::name));
        int status = new Foxtailshedd(roles).run(args);
        if (status != EXIT_OK) {
            System.exit(status);
        }
    }

    private int run(String[] args) {
        ArgumentParser parser = newParser(args);
        try {
            Namespace namespace = parser.parseArgs(args);
            Role role = findRole(namespace.getString(ROLE));
            if (role.reloadsSettings()) {
                SignalHandlers.deferHangup();
            }
            Settings settings =
                    Settings.read(
                            allSettings(role),
                            flag -> namespace.getString(flag.substring(2)),
                            System::getenv);
            start(role, settings);
            return EXIT_OK;
        } catch (HelpScreenException e) {
            return EXIT_OK;
        } catch (ArgumentParserException e) {
            System.err.println("foxtailshedd: " + e.getMessage());
            return EXIT_BAD_SETTING;
        } catch (SettingException e) {
            System.err.println("foxtailshedd: " + e.getMessage());
            return EXIT_BAD_SETTING;
        } catch (IOException e) {
            System.err.println("foxtailshedd: cannot start: " + e.getMessage());
            return EXIT_FAILURE;
        }
    }

    private void start(Role role, Settings settings) throws IOException {
        LogSettings.apply(settings);
        RunningRole running = role.start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(role, running), "shutdown"));
        InetSocketAddress address = running.address();
        String hostAndPort = address.getAddress().getHostAddress() + ":" + address.getPort();
        EventLog.log(
                EventCode.READY, Field.of("role", role.name()), Field.of("address", hostAndPort));
        System.out.println("ready " + role.name() + " " + hostAndPort);
        System.out.flush();
    }

    private static void stop(Role role, RunningRole running) {
        EventLog.log(EventCode.DRAINING, Field.of("role", role.name()));
        int status = EXIT_OK;
        try {
            running.drainAndClose();
        } catch (InterruptedException e) {
            status = EXIT_FAILURE;
        } catch (RuntimeException e) {
            // Caught so that the halt is reached; else the JVM would exit as if killed by the
            // signal, with no log line.
            EventLog.logUnexpected("shutdown", e);
            status = EXIT_FAILURE;
        }
        EventLog.log(EventCode.STOPPED, Field.of("role", role.name()));
        JsonConsoleWriter.flushLines();
        // Without the halt, the JVM would report the signal as its exit status.
        Runtime.getRuntime().halt(status);
    }

    private ArgumentParser newParser(String[] args) {
        ArgumentParser parser =
                ArgumentParsers.newFor("foxtailshedd")
                        .build()
                        .defaultHelp(true)
                        .description(
                                "Router for language-model pools with separate prefill and decode"
                                        + " servers.");
        Subparsers subparsers = parser.addSubparsers().dest(ROLE).metavar("ROLE");
        for (Role role : roles) {
            Subparser subparser = subparsers.addParser(role.name()).help(role.summary());
            if (Arrays.asList(args).contains(role.name())) {
                // The flags of the other roles would only slow down the start.
                allSettings(role).forEach(setting -> addFlag(subparser, setting));
            }
        }
        return parser;
    }

    private static void addFlag(Subparser subparser, Setting<?> setting) {
        String fallback = setting.defaultText().map(text -> ", default " + text).orElse("");
        String help = setting.help() + " (" + setting.environmentVariable() + fallback + ")";
        // argparse4j formats the help text, in which a percent sign starts a format specifier.
        subparser
                .addArgument(setting.flag())
                .dest(setting.flag().substring(2))
                .help(help.replace("%", "%%"));
    }

    private Role findRole(String name) {
        return roles.stream().filter(role -> role.name().equals(name)).findFirst().orElseThrow();
    }

    private static List<Setting<?>> allSettings(Role role) {
        List<Setting<?>> settings = new ArrayList<>(role.settings());
        settings.addAll(LogSettings.SETTINGS);
        return settings;
    }
}
