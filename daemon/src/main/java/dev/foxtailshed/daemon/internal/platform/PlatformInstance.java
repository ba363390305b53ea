package dev.foxtailshed.daemon.internal.platform;

import java.net.InetSocketAddress;

/**
 * An instance in the platform's list of instances.
 *
 * @param name the name of the instance; for a sidecar, the name of its backend server
 * @param role the role, such as entry or sidecar
 * @param zone the availability zone
 * @param address the address at which it listens
 * @param leaving whether the platform is about to stop it
 */
public record PlatformInstance(
        String name, String role, String zone, InetSocketAddress address, boolean leaving) {}
