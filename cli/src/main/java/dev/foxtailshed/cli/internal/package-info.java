/** The commands of the tool and a client for the operator API of entries. */
package dev.foxtailshed.cli.internal;
