"""The experiment tool: open-loop traffic, checked answers, histograms and a report."""
