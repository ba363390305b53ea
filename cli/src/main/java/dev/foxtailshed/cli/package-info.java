/** The command-line tool for operators. */
package dev.foxtailshed.cli;
