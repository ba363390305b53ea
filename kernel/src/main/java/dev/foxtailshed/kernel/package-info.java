/** The decision logic of the router. It performs no input or output, and time is passed in. */
package dev.foxtailshed.kernel;
