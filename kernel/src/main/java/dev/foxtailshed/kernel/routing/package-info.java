/** Selection of backend servers and the order in which a request is placed on them. */
package dev.foxtailshed.kernel.routing;
