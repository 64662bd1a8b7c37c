/** The operators' command-line tool: checks, compares and explains documents and shows the state of nodes. */
package org.plantainshunt.cli;
