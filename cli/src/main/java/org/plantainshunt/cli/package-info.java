/**
 * The operators' command-line tool: checks, compares and explains documents, shows the state of nodes and replays their
 * traces.
 */
package org.plantainshunt.cli;
