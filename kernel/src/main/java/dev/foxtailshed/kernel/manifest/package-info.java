/** The manifest that operators submit: its model, validation, history and comparison. */
package dev.foxtailshed.kernel.manifest;
